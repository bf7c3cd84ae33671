#!/bin/bash
exec "$(dirname "$0")/../lab-2/run" results "review/6"
