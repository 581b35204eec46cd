import http from 'node:http';

/** An HTTP response; a body that is not JSON stays text. */
export interface JsonResponse {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: unknown;
}

/** Sends an HTTP request with a JSON body. Rejects if the connection fails. */
export function callJson(
  url: string,
  method: string,
  body?: unknown,
  headers: http.OutgoingHttpHeaders = {},
): Promise<JsonResponse> {
  return new Promise((resolve, reject) => {
    const requestText = body === undefined ? undefined : JSON.stringify(body);
    const req = http.request(url, {
      method,
      agent: false,
      headers: {
        ...(requestText === undefined
          ? {}
          : {'content-type': 'application/json'}),
        ...headers,
      },
    });
    req.on('error', reject);
    req.on('response', res => {
      const chunks: Buffer[] = [];
      res.on('data', chunk => chunks.push(chunk as Buffer));
      res.on('error', reject);
      res.on('end', () => {
        const responseText = Buffer.concat(chunks).toString();
        const status = res.statusCode ?? 0;
        resolve({
          status,
          headers: res.headers,
          body: parseJsonOrText(responseText),
        });
      });
    });
    req.end(requestText);
  });
}

function parseJsonOrText(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}
