// Decides whether a failed test run failed only in ways that KNOWN-RED.txt lists.
// Usage: node scripts/known_red.mjs REPORT, the JSON report of vitest.
import {readFileSync} from 'node:fs';

/**
 * Lines `passes over: PATH | TEXT | ...`; each text is in the test's name or its
 * errors, so that another failure of the same test does not fit.
 */
const listed = readFileSync('KNOWN-RED.txt', 'utf8')
  .split('\n')
  .map(line => /^\s*passes over: (\S+) \| (.+)$/.exec(line))
  .filter(match => match !== null)
  .map(([, path, texts]) => ({path, texts: texts.split(' | ')}));

const report = JSON.parse(readFileSync(process.argv[2], 'utf8'));
const failures = report.testResults.flatMap(file => {
  const failed = file.assertionResults.filter(test => test.status === 'failed');
  // A file can fail outside its tests, for instance while it is loaded.
  if (file.status === 'failed' && failed.length === 0) {
    return [{path: file.name, text: file.message}];
  }
  return failed.map(test => ({
    path: file.name,
    text: [test.fullName, ...test.failureMessages].join('\n'),
  }));
});
const unlisted = failures.filter(
  failure =>
    !listed.some(
      ({path, texts}) =>
        failure.path.includes(path) &&
        texts.every(text => failure.text.includes(text)),
    ),
);
for (const {path, text} of failures) {
  console.log(`failed: ${path}: ${text.split('\n')[0]}`);
}
console.log(`${failures.length} failed, ${unlisted.length} of them not listed`);
// Without a failed test the run failed for another reason.
process.exit(failures.length > 0 && unlisted.length === 0 ? 0 : 1);
