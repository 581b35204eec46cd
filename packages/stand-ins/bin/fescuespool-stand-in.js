#!/usr/bin/env node
// Committed, so that an install before the first build can link this command.
import '../dist/main.js';
