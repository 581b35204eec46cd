import {createHash, randomUUID, timingSafeEqual} from 'node:crypto';

/** Generates a random UUID. */
export function newId(): string {
  return randomUUID();
}

/** SHA-256 of a text or buffer as lower-case hexadecimal. */
export function sha256Hex(data: string | Buffer): string {
  return createHash('sha256').update(data).digest('hex');
}

/** Compares two texts in time that does not depend on where they differ. */
export function equalInConstantTime(a: string, b: string): boolean {
  const left = Buffer.from(sha256Hex(a), 'hex');
  const right = Buffer.from(sha256Hex(b), 'hex');
  return timingSafeEqual(left, right);
}
