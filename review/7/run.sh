#!/bin/bash
exec "$(dirname "$0")/../lab-2/run" memory "review/7"
