#!/usr/bin/env node
// Checked in because npm links this file at install, before dist/ is built.
import '../dist/main.js';
