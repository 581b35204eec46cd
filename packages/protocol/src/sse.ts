/** One server-sent event. */
export interface SseEvent {
  readonly id: string | null;
  readonly data: string;
}

const EVENT_END = '\n\n';

/** Formats data and an optional identifier as a server-sent event. */
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

/** Splits a stream of text into events; buffers an incomplete event. */
export class SseParser {
  private pending = '';

  /** Adds text to the stream and returns the events that it completes. */
  push(text: string): SseEvent[] {
    const blocks = (this.pending + text.replaceAll('\r\n', '\n')).split(
      EVENT_END,
    );
    this.pending = blocks.pop() ?? '';
    return blocks.map(parseEvent).filter(event => event !== null);
  }
}
