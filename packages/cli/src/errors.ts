import type {ExitCode} from './types.js';

/** A failure that ends the tool with an exit code. */
export class CliError extends Error {
  constructor(
    readonly exitCode: ExitCode,
    message: string,
  ) {
    super(message);
    this.name = 'CliError';
  }
}
