import http from 'node:http';

/** A JSON answer. */
export interface JsonResponse {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: unknown;
}

/** Calls an HTTP interface with JSON; a body that is no JSON stays text. */
export function callJson(
  url: string,
  method: string,
  body?: unknown,
  headers: http.OutgoingHttpHeaders = {},
): Promise<JsonResponse> {
  return new Promise((resolve, reject) => {
    const text = body === undefined ? undefined : JSON.stringify(body);
    const req = http.request(url, {
      method,
      agent: false,
      headers: {
        ...(text === undefined ? {} : {'content-type': 'application/json'}),
        ...headers,
      },
    });
    req.on('error', reject);
    req.on('response', res => {
      const chunks: Buffer[] = [];
      res.on('data', chunk => chunks.push(chunk as Buffer));
      res.on('error', reject);
      res.on('end', () => {
        const answer = Buffer.concat(chunks).toString();
        const status = res.statusCode ?? 0;
        resolve({status, headers: res.headers, body: tryParse(answer)});
      });
    });
    req.end(text);
  });
}

function tryParse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}
