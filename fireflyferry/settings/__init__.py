"""Settings of the programs, read from INI files."""
