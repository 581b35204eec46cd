const EMPTY = Buffer.alloc(0);
const GROWTH_FACTOR = 2;
const MIN_CAPACITY_BYTES = 256;

/**
 * Collects chunks in one buffer that grows by doubling: the time is linear in the
 * bytes and the memory is theirs, however small the chunks are.
 */
export class ByteAccumulator {
  private buffer: Buffer = EMPTY;
  private size = 0;

  /** `capacityFor` returns how much is allocated for a size; 0 to double it. */
  constructor(
    private readonly capacityFor: (size: number) => number = () => 0,
  ) {}

  /** Number of collected bytes. */
  get length(): number {
    return this.size;
  }

  /** Number of bytes that are allocated. */
  get capacity(): number {
    return this.buffer.length;
  }

  /** The collected bytes, until the next change. */
  get bytes(): Buffer {
    return this.buffer.subarray(0, this.size);
  }

  /** Adds a copy of a chunk. */
  append(chunk: Buffer): void {
    const size = this.size + chunk.length;
    if (size > this.buffer.length) this.grow(size);
    chunk.copy(this.buffer, this.size);
    this.size = size;
  }

  /** Removes and returns all bytes. */
  takeAll(): Buffer {
    const {bytes} = this;
    this.buffer = EMPTY;
    this.size = 0;
    return bytes;
  }

  private grow(size: number): void {
    const doubled = this.buffer.length * GROWTH_FACTOR;
    const capacity =
      this.capacityFor(size) || Math.max(MIN_CAPACITY_BYTES, doubled, size);
    const grown = Buffer.allocUnsafeSlow(capacity);
    this.buffer.copy(grown, 0, 0, this.size);
    this.buffer = grown;
  }
}
