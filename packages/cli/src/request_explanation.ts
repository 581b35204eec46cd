/** The parsed fields of one log line. */
export interface ParsedLogLine {
  /** Path of the file that the line was read from, or `-`. */
  readonly source: string;
  /** Wall-clock time as the process wrote it, in ISO 8601. */
  readonly time: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, string>>;
}

/** The outcome of a request, as far as the logs show it. */
export interface RequestExplanation {
  readonly requestId: string;
  /** One or two sentences on the outcome. */
  readonly summary: string;
  /** The request's log lines, oldest first. */
  readonly lines: readonly ParsedLogLine[];
}

const FIELD_PATTERN = /([A-Za-z][A-Za-z0-9]*)=("(?:[^"\\]|\\.)*"|\S*)/g;

/** Explains each refusal reason and whether the request may have run. */
const REFUSAL_DESCRIPTIONS: Readonly<Record<string, string>> = {
  not_configured: 'the gateway had no configuration yet; it did not run',
  stopping: 'the gateway was stopping; it did not run',
  no_route: 'no route of the active configuration matches it',
  bad_request: 'it had no id or could not be parsed',
  body_too_large: 'its body was larger than the configuration allows',
  unknown_key: 'its key is not in the active configuration',
  stale_config:
    'the gateway had not reached the store recently enough to trust its keys; it did not run',
  quota_exceeded: 'its account had used its quota; it did not run',
  crash_suspected:
    'upstreams had died with such a request in flight; it did not run',
  overloaded:
    'the queue was too long for it to meet its deadline; it did not run',
  expired: 'its time limit passed while it was queued; it did not run',
  no_upstream: 'no upstream of its service was listed; it did not run',
  budget_spent: 'the retry budget of its service was spent; it did not run',
  not_accepted: 'no upstream accepted it; it did not run',
  upstream_failed: 'its upstream failed, and it may have run',
  upstream_timeout: 'its time limit passed at an upstream, and it may have run',
};

/**
 * Parses the `key=value` fields of a log line. Returns null if it has no time or
 * no event, such as a line of another program.
 */
export function parseLogLine(
  source: string,
  line: string,
): ParsedLogLine | null {
  const fields: Record<string, string> = {};
  for (const [, name, value] of line.matchAll(FIELD_PATTERN)) {
    fields[name!] = value!.startsWith('"') ? unquote(value!) : value!;
  }
  const {time, event, ...rest} = fields;
  if (time === undefined || event === undefined) return null;
  return {source, time, event, fields: rest};
}

function unquote(text: string): string {
  try {
    return JSON.parse(text) as string;
  } catch {
    // The line was truncated; the raw text is still useful.
    return text;
  }
}

/** Selects the lines of one request, sorts them by time and explains them. */
export function explainRequest(
  requestId: string,
  lines: readonly ParsedLogLine[],
): RequestExplanation {
  const requestLines = lines
    .filter(line => line.fields['id'] === requestId)
    .sort((a, b) => (a.time < b.time ? -1 : a.time > b.time ? 1 : 0));
  return {requestId, summary: summarize(requestLines), lines: requestLines};
}

function summarize(lines: readonly ParsedLogLine[]): string {
  if (lines.length === 0) return 'No line names this request.';
  const failures = lines
    .filter(line => line.event === 'send_failed')
    .map(({fields}) => `${fields['upstream']} (${fields['cause']})`);
  const failureText =
    failures.length > 0 ? ` It failed at ${failures.join(', ')}.` : '';
  const refused = lines.find(line => line.event === 'request_refused');
  if (refused) {
    const {reason = '', status, elapsedMs} = refused.fields;
    const description = REFUSAL_DESCRIPTIONS[reason] ?? reason;
    return `Refused with ${status} after ${elapsedMs} ms: ${description}.${failureText}`;
  }
  const ended = lines.find(line => line.event === 'request_ended');
  if (!ended) return `It has no end in these logs.${failureText}`;
  const {status, elapsedMs, queuedMs, callerLeft} = ended.fields;
  if (callerLeft === 'true') {
    return `Its caller left after ${elapsedMs} ms.${failureText}`;
  }
  const queueText =
    queuedMs === undefined ? '' : `, ${queuedMs} ms of them queued`;
  return `Answered with ${status} after ${elapsedMs} ms${queueText}.${failureText}`;
}
