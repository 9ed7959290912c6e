#!/usr/bin/env bash
exec "$(dirname "$0")/../run.sh" 5
