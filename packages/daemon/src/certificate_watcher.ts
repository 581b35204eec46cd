import type {Logger} from '@fescuespool/common';
import type {TlsCredentials} from '@fescuespool/transport';
import {readFileSync, unwatchFile, watchFile} from 'node:fs';

const FILE_CHECK_INTERVAL_MS = 1_000;

/** Paths of the PEM files for a listener's TLS. */
export interface TlsFiles {
  readonly certFile: string;
  readonly keyFile: string;
  readonly caFile?: string;
}

/**
 * Loads a listener's certificate files and reloads them when one changes. The
 * constructor throws if a file can't be read.
 */
export class CertificateWatcher {
  private current: TlsCredentials;
  private readonly listeners: Array<(credentials: TlsCredentials) => void> = [];

  constructor(
    private readonly files: TlsFiles,
    private readonly log: Logger,
  ) {
    this.current = this.read();
    for (const file of this.filePaths()) {
      watchFile(file, {interval: FILE_CHECK_INTERVAL_MS}, () => this.reload());
    }
  }

  /** The certificate, the private key and the CA last loaded. */
  get credentials(): TlsCredentials {
    return this.current;
  }

  /** Calls the listener with the new credentials after each reload. */
  onChange(listener: (credentials: TlsCredentials) => void): void {
    this.listeners.push(listener);
  }

  /** Stops watching the files. */
  close(): void {
    for (const file of this.filePaths()) unwatchFile(file);
  }

  private filePaths(): string[] {
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
      // A pair that was only half written is read again at its next change.
      this.log.warn('certificate_unreadable', {err: String(e)});
    }
  }
}
