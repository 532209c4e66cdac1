/**
 * Buffers of one size that are used again. The memory of buffers that are given to the garbage collector is freed late.
 */

/** Reusable buffers of one size. */
export class BlockPool {
    private readonly free: Buffer[] = [];

    /**
     * @param blockBytes - size of each buffer, in bytes
     * @param maximumFree - largest number of unused buffers that are kept
     */
    public constructor(public readonly blockBytes: number, private readonly maximumFree: number) {}

    /**
     * Takes a buffer, whose contents are arbitrary.
     *
     * @returns an unused buffer
     */
    public take(): Buffer {
        return this.free.pop() ?? Buffer.allocUnsafeSlow(this.blockBytes);
    }

    /**
     * Gives a buffer back, to which nothing may refer any more.
     *
     * @param block - buffer that was taken
     */
    public giveBack(block: Buffer): void {
        if (this.free.length < this.maximumFree) {
            this.free.push(block);
        }
    }
}
