// A sound engine as a process: it serves one request at a time on a channel and
// prints what it got, began and ended as lines of JSON.
import net from 'node:net';
import process from 'node:process';

const options = {
  backlog: 511,
  events: 20,
  gapMs: 150,
  workMs: 200,
  isUnframed: false,
  ...JSON.parse(process.env.ENGINE),
};
const {id, host, born} = options;

function say(what, fields = {}) {
  process.stdout.write(`${JSON.stringify({what, fields})}\n`);
}

const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Calls `handle` with each request of a channel, once it is read whole. */
function readRequests(socket, handle) {
  let bytes = Buffer.alloc(0);
  socket.on('data', data => {
    bytes = Buffer.concat([bytes, data]);
    for (;;) {
      const end = bytes.indexOf('\r\n\r\n');
      if (end < 0) return;
      const [line, ...lines] = bytes
        .subarray(0, end)
        .toString('latin1')
        .split('\r\n');
      const headers = {};
      for (const header of lines) {
        const colon = header.indexOf(':');
        const name = header.slice(0, colon).toLowerCase();
        headers[name] = header.slice(colon + 1).trim();
      }
      const length = Number(headers['content-length'] ?? 0);
      if (bytes.length < end + 4 + length) return;
      bytes = bytes.subarray(end + 4 + length);
      const [method, path] = line.split(' ');
      handle({method, path, headers, bodyBytes: length});
    }
  });
}

function head(req, status, headers) {
  const all = [
    `X-Request-Id: ${req.headers['x-request-id']}`,
    `X-Response-Seal: seal-of-${req.headers['x-request-id']}`,
    ...headers,
  ];
  return `HTTP/1.1 ${status}\r\n${all.join('\r\n')}\r\n\r\n`;
}

function report(socket) {
  const body = JSON.stringify({
    stage: 'hybrid',
    models: [{name: 'm', version: 1, adapters: []}],
    busy: false,
    born,
  });
  socket.end(
    'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n' +
      `Connection: close\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
  );
}

async function stream(req, socket, isLeft) {
  const framing = options.isUnframed
    ? 'Connection: close'
    : 'Transfer-Encoding: chunked';
  socket.write(
    head(req, '200 OK', ['Content-Type: text/event-stream', framing]),
  );
  const first = Number(req.headers['last-event-id'] ?? 0) + 1;
  for (let i = first; i <= options.events; i++) {
    if (i > first) await sleep(options.gapMs);
    if (isLeft()) return i - 1;
    const event = `id: ${i}\ndata: piece ${i} of ${options.events}\n\n`;
    socket.write(
      options.isUnframed
        ? event
        : `${event.length.toString(16)}\r\n${event}\r\n`,
    );
  }
  if (options.isUnframed) socket.end();
  else socket.write('0\r\n\r\n');
  return options.events;
}

async function call(req, socket) {
  await sleep(options.workMs);
  const body = 'x'.repeat(800);
  socket.write(head(req, '200 OK', [`Content-Length: ${body.length}`]) + body);
}

/** Rejects a request; with bytes that never end, or soundly. */
function reject(req, socket, isEndless) {
  const framing = isEndless
    ? 'Transfer-Encoding: chunked'
    : 'Content-Length: 0';
  socket.write(
    head(req, '503 Service Unavailable', ['X-Not-Executed: 1', framing]),
  );
  if (!isEndless) return;
  const piece = 'id: 1\ndata: xxx\n\n';
  const chunk = `${piece.length.toString(16)}\r\n${piece}\r\n`;
  const bytes = Buffer.from(chunk.repeat(2_500));
  openBodies++;
  socket.once('close', () => openBodies--);
  const write = () => {
    while (!socket.destroyed && socket.write(bytes));
  };
  socket.on('drain', write);
  write();
}

/** Share of the requests that are rejected, until when, and how. */
let fault = {share: 0, untilMs: 0, isEndless: false, piece: undefined};
let openBodies = 0;
/** Bytes that the next request gets in place of its answer; null for none. */
let nextAnswer = null;
process.stdin.on('data', line => {
  const {
    share = 0,
    forMs = 0,
    isEndless,
    piece,
    answer = null,
  } = JSON.parse(line);
  fault = {share, untilMs: performance.now() + forMs, isEndless, piece};
  nextAnswer = answer;
});

/** Answers a stream with pieces that end no event, until the caller closes. */
function answerEndlessly(req, socket) {
  const {piece} = fault;
  const chunk = `${piece.length.toString(16)}\r\n${piece}\r\n`;
  const bytes = Buffer.from(chunk.repeat(Math.ceil(65_536 / chunk.length)));
  const type = 'Content-Type: text/event-stream';
  socket.write(head(req, '200 OK', [type, 'Transfer-Encoding: chunked']));
  const write = () => {
    while (!socket.destroyed && socket.write(bytes));
  };
  socket.on('drain', write);
  write();
}

const server = net.createServer({allowHalfOpen: false}, socket => {
  let isClosed = false;
  socket.on('error', () => undefined);
  socket.on('close', () => (isClosed = true));
  const isLeft = () => isClosed || socket.destroyed;
  readRequests(socket, async req => {
    if (req.path === '/v1/report') return report(socket);
    const requestId = req.headers['x-request-id'];
    if (req.headers['x-expected-instance'] !== id) {
      socket.write(head(req, '421 Misdirected Request', ['Content-Length: 0']));
      return;
    }
    if (performance.now() < fault.untilMs && Math.random() < fault.share) {
      if (fault.piece !== undefined) {
        say('answers without an end', {id: requestId});
        answerEndlessly(req, socket);
        return;
      }
      say('rejected', {id: requestId, openBodies});
      reject(req, socket, fault.isEndless);
      return;
    }
    if (nextAnswer !== null) {
      const bytes = nextAnswer;
      nextAnswer = null;
      say('answered wrongly', {id: requestId, bytes});
      socket.write(bytes);
      return;
    }
    say('began', {id: requestId, method: req.method, path: req.path});
    if (!/^\/(un)?safe\//.test(req.path)) {
      const made = await stream(req, socket, isLeft);
      say('ended', {id: requestId, made, of: options.events});
    } else {
      await call(req, socket);
      say('ended', {id: requestId, isClosed: isLeft()});
    }
  });
});
server.listen({host, port: 0, backlog: options.backlog}, () => {
  process.stdout.write(
    `${JSON.stringify({what: 'listening', port: server.address().port})}\n`,
  );
});
