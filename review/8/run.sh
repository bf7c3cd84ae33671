#!/bin/bash
exec "$(dirname "$0")/../lab-2/run" quiet_drain "review/8"
