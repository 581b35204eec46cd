import type {ExitCode} from './types.js';

/** An error with the exit code that the tool ends with. */
export class CliError extends Error {
  constructor(
    readonly exitCode: ExitCode,
    message: string,
  ) {
    super(message);
    this.name = 'CliError';
  }
}
