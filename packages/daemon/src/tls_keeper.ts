import type {Logger} from '@fescuespool/common';
import type {TlsCredentials} from '@fescuespool/transport';
import {readFileSync, unwatchFile, watchFile} from 'node:fs';

const WATCH_PERIOD_MS = 1_000;

/** Files of a listener's certificate. */
export interface TlsFiles {
  readonly certFile: string;
  readonly keyFile: string;
  readonly caFile?: string;
}

/** Reads certificate files, again when they change. */
export class CertificateWatcher {
  private current: TlsCredentials;
  private readonly listeners: Array<(credentials: TlsCredentials) => void> = [];

  constructor(
    private readonly files: TlsFiles,
    private readonly log: Logger,
  ) {
    this.current = this.read();
    for (const file of this.paths()) {
      watchFile(file, {interval: WATCH_PERIOD_MS}, () => this.reload());
    }
  }

  /** Certificate, key and authority in force. */
  get credentials(): TlsCredentials {
    return this.current;
  }

  /** Calls a function with each new certificate. */
  onChange(listener: (material: TlsCredentials) => void): void {
    this.listeners.push(listener);
  }

  /** Stops to watch the files. */
  close(): void {
    for (const file of this.paths()) unwatchFile(file);
  }

  private paths(): string[] {
    const {certFile, keyFile, caFile} = this.files;
    return [certFile, keyFile, ...(caFile ? [caFile] : [])];
  }

  private read(): TlsCredentials {
    const {certFile, keyFile, caFile} = this.files;
    return {
      cert: readFileSync(certFile),
      key: readFileSync(keyFile),
      ...(caFile ? {ca: readFileSync(caFile)} : {}),
    };
  }

  private reload(): void {
    try {
      this.current = this.read();
      for (const listener of this.listeners) listener(this.current);
      this.log.info('certificate_reloaded', {file: this.files.certFile});
    } catch (e) {
      // A half-written pair is read again at its next change.
      this.log.warn('certificate_unreadable', {err: String(e)});
    }
  }
}
