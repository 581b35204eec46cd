#!/usr/bin/env node
// Stands in the tree, so that an install before the first build can link it.
import '../dist/main.js';
