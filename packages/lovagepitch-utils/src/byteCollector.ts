/**
 * Collection of received bytes. Small parts are copied together: each buffer of its own costs several hundred bytes, and may keep a
 * much larger block that it is a part of.
 */

/** Size of the blocks into which small parts are copied, in bytes. */
const blockBytes = 4096;

/** Memory of a buffer beside its bytes, in bytes. */
const bufferOverheadBytes = 256;

/** Collects bytes in the order of their arrival. */
export class ByteCollector {
    /** The only part so far, which is not copied unless another one follows. */
    private first: Buffer | undefined;
    private blocks: Buffer[] = [];
    /** Used bytes of the last block if parts can be copied into the rest of it; otherwise all of it is used. */
    private usedBytes = blockBytes;
    private collectedBytes = 0;
    private held = 0;

    /** Number of collected bytes. */
    public get length(): number {
        return this.collectedBytes;
    }

    /** Memory that the collected bytes take, in bytes. */
    public get heldBytes(): number {
        return this.held;
    }

    /**
     * Adds bytes, which the collector may keep without a copy.
     *
     * @param part - received bytes
     */
    public add(part: Buffer): void {
        this.collectedBytes += part.length;
        if (this.collectedBytes === part.length) {
            this.first = part;
            this.held = part.buffer.byteLength + bufferOverheadBytes;
            return;
        }
        if (this.first !== undefined) {
            const { first } = this;
            this.first = undefined;
            this.held = 0;
            this.addToBlocks(first);
        }
        this.addToBlocks(part);
    }

    /**
     * Joins all collected bytes.
     *
     * @returns the bytes in the order of their arrival
     */
    public concat(): Buffer {
        if (this.first !== undefined) {
            return this.first;
        }
        this.truncateLast();
        const [only] = this.blocks;
        return this.blocks.length === 1 && only !== undefined ? only : Buffer.concat(this.blocks, this.collectedBytes);
    }

    /** Forgets all bytes. */
    public clear(): void {
        this.first = undefined;
        this.blocks = [];
        this.usedBytes = blockBytes;
        this.collectedBytes = 0;
        this.held = 0;
    }

    private addToBlocks(part: Buffer): void {
        if (part.length >= blockBytes && part.buffer.byteLength < 2 * part.length) {
            this.truncateLast();
            this.addBlock(part);
            this.usedBytes = blockBytes;
            return;
        }
        for (let start = 0; start < part.length;) {
            if (this.usedBytes === blockBytes) {
                this.addBlock(Buffer.allocUnsafeSlow(blockBytes));
                this.usedBytes = 0;
            }
            const block = this.blocks[this.blocks.length - 1];
            const copied = block === undefined ? 0 : part.copy(block, this.usedBytes, start);
            this.usedBytes += copied;
            start += copied;
        }
    }

    private addBlock(block: Buffer): void {
        this.blocks.push(block);
        this.held += block.length + bufferOverheadBytes;
    }

    /** Shortens the last block to what is used of it; nothing is copied into it any more. */
    private truncateLast(): void {
        const last = this.blocks[this.blocks.length - 1];
        if (last !== undefined && this.usedBytes < blockBytes) {
            this.blocks[this.blocks.length - 1] = last.subarray(0, this.usedBytes);
            this.usedBytes = blockBytes;
        }
    }
}
