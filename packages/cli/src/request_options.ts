import {EXIT_CODE} from './constants.js';
import {CliError} from './errors.js';

/** Tokens of a request; null where they are not given. */
export interface TokenOptions {
  readonly promptTokens: number | null;
  readonly outputTokens: number;
}

/** Parses the tokens of prompt and output, `1460,80` or `1460`. */
export function parseTokens(text: string | undefined): TokenOptions {
  if (text === undefined) return {promptTokens: null, outputTokens: 0};
  const match = /^(\d{1,9})(?:,(\d{1,9}))?$/.exec(text);
  if (!match) {
    throw new CliError(
      EXIT_CODE.USAGE,
      '--tokens must be PROMPT or PROMPT,OUTPUT',
    );
  }
  return {promptTokens: Number(match[1]), outputTokens: Number(match[2] ?? 0)};
}

/** Parses the parts of a prompt, `5c1e:800,91bd:410`. */
export function parseParts(
  text: string | undefined,
): {id: string; tokens: number}[] {
  return (text?.split(',') ?? []).map(part => {
    const match = /^([0-9a-f]{1,32}):(\d{1,9})$/i.exec(part.trim());
    if (match) return {id: match[1]!, tokens: Number(match[2])};
    throw new CliError(
      EXIT_CODE.USAGE,
      `--prefix: "${part}" is not ID:TOKENS with a hexadecimal id`,
    );
  });
}
