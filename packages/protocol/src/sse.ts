/** One server-sent event. */
export interface SseEvent {
  readonly id: string | null;
  readonly data: string;
}

const EVENT_END = '\n\n';

/** Formats an event. */
export function formatSseEvent(data: string, id: string | null = null): string {
  return `${id === null ? '' : `id: ${id}\n`}data: ${data}${EVENT_END}`;
}

function parseEvent(block: string): SseEvent | null {
  let id: string | null = null;
  const data: string[] = [];
  for (const line of block.split('\n')) {
    if (line.startsWith('id:')) id = line.slice(3).trim();
    if (line.startsWith('data:')) data.push(line.slice(5).trimStart());
  }
  return data.length > 0 ? {id, data: data.join('\n')} : null;
}

/** Splits a stream of text into events; an unfinished event is kept back. */
export class SseParser {
  private rest = '';

  /** Takes text and returns the events that it completes. */
  push(text: string): SseEvent[] {
    const blocks = (this.rest + text.replaceAll('\r\n', '\n')).split(EVENT_END);
    this.rest = blocks.pop() ?? '';
    return blocks.map(parseEvent).filter(event => event !== null);
  }
}
