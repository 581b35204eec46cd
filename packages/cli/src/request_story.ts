/** A log line of a request, with where it was found. */
export interface ParsedLogLine {
  /** File that the line was read from. */
  readonly source: string;
  /** Wall-clock time as the process wrote it. */
  readonly time: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, string>>;
}

/** What became of a request, as far as the logs tell. */
export interface RequestExplanation {
  readonly requestId: string;
  /** What happened, in a sentence. */
  readonly summary: string;
  /** The request's lines, the oldest first. */
  readonly lines: readonly ParsedLogLine[];
}

const FIELD = /([A-Za-z][A-Za-z0-9]*)=("(?:[^"\\]|\\.)*"|\S*)/g;

/** What the reasons of refusals mean, and whether the request may have run. */
const MEANING: Readonly<Record<string, string>> = {
  not_configured: 'the gateway had no configuration yet; it did not run',
  stopping: 'the gateway was stopping; it did not run',
  no_route: 'no route of the configuration in force matches it',
  bad_request: 'it had no id, or could not be read',
  body_too_large: 'its body was larger than the configuration allows',
  unknown_key: 'its key is not in the configuration in force',
  stale_config:
    'the gateway had not reached the store for too long to trust its keys; it did not run',
  quota_exceeded: 'its account had used its quota; it did not run',
  crash_suspected:
    'upstreams had died with such a request in flight; it did not run',
  overloaded: 'the queue was too long for it to be in time; it did not run',
  expired: 'its time in the queue was over; it did not run',
  no_upstream: 'no upstream of its service was listed; it did not run',
  budget_spent: 'the retry budget of its service was spent; it did not run',
  not_accepted: 'no upstream accepted it; it did not run',
  upstream_failed: 'its upstream failed, and it may have run',
  upstream_timeout: 'its time was over at an upstream, and it may have run',
};

/** Reads the fields of a log line; null where it is none of ours. */
export function parseLogLine(
  source: string,
  line: string,
): ParsedLogLine | null {
  const fields: Record<string, string> = {};
  for (const [, name, value] of line.matchAll(FIELD)) {
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
    // A line that was cut off; its text is still of use.
    return text;
  }
}

/** Puts the lines of one request in order and says what happened. */
export function explainRequest(
  requestId: string,
  lines: readonly ParsedLogLine[],
): RequestExplanation {
  const own = lines
    .filter(line => line.fields['id'] === requestId)
    .sort((a, b) => (a.time < b.time ? -1 : a.time > b.time ? 1 : 0));
  return {requestId, summary: summarize(own), lines: own};
}

function summarize(lines: readonly ParsedLogLine[]): string {
  if (lines.length === 0) return 'No line names this request.';
  const sends = lines
    .filter(line => line.event === 'send_failed')
    .map(({fields}) => `${fields['upstream']} (${fields['cause']})`);
  const failed = sends.length > 0 ? ` It failed at ${sends.join(', ')}.` : '';
  const refused = lines.find(line => line.event === 'request_refused');
  if (refused) {
    const {reason = '', status, elapsedMs} = refused.fields;
    const meaning = MEANING[reason] ?? reason;
    return `Refused with ${status} after ${elapsedMs} ms: ${meaning}.${failed}`;
  }
  const ended = lines.find(line => line.event === 'request_ended');
  if (!ended) return `It has no end in these logs.${failed}`;
  const {status, elapsedMs, queuedMs, callerLeft} = ended.fields;
  if (callerLeft === 'true') {
    return `Its caller left after ${elapsedMs} ms.${failed}`;
  }
  const queued =
    queuedMs === undefined ? '' : `, ${queuedMs} ms of them queued`;
  return `Answered with ${status} after ${elapsedMs} ms${queued}.${failed}`;
}
