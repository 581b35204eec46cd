import {closeSync, openSync, readFileSync, rmSync, writeSync} from 'node:fs';
import {mkdtempSync} from 'node:fs';
import {spawnSync} from 'node:child_process';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {limitEventRate} from './event_rate_limit.js';
import {createLineStream} from './line_stream.js';
import type {Logger} from './types.js';

describe('createLineStream', () => {
  let folder: string;

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'fescuespool-'));
  });

  afterEach(() => rmSync(folder, {recursive: true}));

  it('writes all lines in order', async () => {
    const path = join(folder, 'log');
    const fd = openSync(path, 'w');
    const stream = createLineStream(fd);
    for (let i = 0; i < 1_000; i++) stream.write(`line ${i}\n`);
    await stream.flushed();
    const lines = readFileSync(path, 'utf8').trim().split('\n');
    expect(lines).toHaveLength(1_000);
    expect(lines[999]).toBe('line 999');
    closeSync(fd);
  });

  it('drops and counts lines without blocking while the reader is stalled', async () => {
    const path = join(folder, 'pipe');
    spawnSync('mkfifo', [path]);
    const fd = openSync(path, 'r+');
    // Fills the pipe before the first line is written.
    const full = openSync(path, 'w');
    for (let i = 0; i < 16; i++) writeSync(full, Buffer.alloc(4_096));
    const stream = createLineStream(fd, 10_000);
    const startMs = performance.now();
    for (let i = 0; i < 5_000; i++) stream.write(`line ${i}\n`);
    await new Promise(resolve => setTimeout(resolve, 120));
    for (let i = 0; i < 5_000; i++) stream.write(`more ${i}\n`);
    expect(performance.now() - startMs).toBeLessThan(1_000);
    const reader = openSync(path, 'r');
    const {createReadStream} = await import('node:fs');
    let text = '';
    const source = createReadStream(path, {fd: reader, autoClose: false});
    source.on('data', chunk => (text += chunk.toString()));
    await stream.flushed();
    await new Promise(resolve => setTimeout(resolve, 100));
    expect(text).toMatch(/event=log_lines_dropped count=\d+/);
    source.destroy();
    closeSync(full);
    closeSync(fd);
  });
});

describe('limitEventRate', () => {
  it('limits each event separately and counts the lines left out', () => {
    const lines: string[] = [];
    const write = (event: string, fields = {}): void => {
      lines.push(`${event} ${JSON.stringify(fields)}`);
    };
    const log: Logger = {debug: write, info: write, warn: write, error: write};
    let nowMs = 0;
    const clock = {monotonicMs: () => nowMs, wallMs: () => nowMs};
    const limited = limitEventRate(log, clock, 3);
    for (let i = 0; i < 10; i++) limited.info('often');
    limited.warn('seldom');
    expect(lines).toHaveLength(4);
    nowMs = 1_000;
    limited.info('often');
    expect(lines).toContain('log_lines_left_out {"of":"often","count":7}');
  });
});
