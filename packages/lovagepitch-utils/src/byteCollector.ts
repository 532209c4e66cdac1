/**
 * Collection of received bytes. Parts are copied together: each buffer of its own costs several hundred bytes, and may keep a much
 * larger block that it is a part of.
 */
import { BlockPool } from "./blockPool.js";

/** Blocks of all collectors of the process; at most 4 MB are kept unused. */
const blockPool = new BlockPool(4096, 1024);

/** Memory of a buffer beside its bytes, in bytes. */
const bufferOverheadBytes = 256;

/** Collects bytes in the order of their arrival. */
export class ByteCollector {
    /** The only part so far, which is not copied unless another one follows. */
    private first: Buffer | undefined;
    private blocks: Buffer[] = [];
    private collectedBytes = 0;

    /** Number of collected bytes. */
    public get length(): number {
        return this.collectedBytes;
    }

    /** Memory that the collected bytes take, in bytes. */
    public get heldBytes(): number {
        return this.first === undefined
            ? this.blocks.length * (blockPool.blockBytes + bufferOverheadBytes)
            : this.first.buffer.byteLength + bufferOverheadBytes;
    }

    /**
     * Adds bytes.
     *
     * @param part - received bytes, which the collector may keep without a copy
     */
    public add(part: Buffer): void {
        if (this.collectedBytes === 0) {
            this.first = part;
            this.collectedBytes = part.length;
            return;
        }
        if (this.first !== undefined) {
            const { first } = this;
            this.first = undefined;
            this.collectedBytes = 0;
            this.copy(first);
        }
        this.copy(part);
    }

    /**
     * Joins all collected bytes.
     *
     * @returns the bytes in the order of their arrival, which later changes of the collector do not affect
     */
    public concat(): Buffer {
        return this.first ?? Buffer.concat(this.blocks, this.collectedBytes);
    }

    /** Forgets all bytes. */
    public clear(): void {
        this.blocks.forEach(block => blockPool.giveBack(block));
        this.blocks = [];
        this.first = undefined;
        this.collectedBytes = 0;
    }

    private copy(part: Buffer): void {
        for (let start = 0; start < part.length;) {
            const position = this.collectedBytes % blockPool.blockBytes;
            if (position === 0) {
                this.blocks.push(blockPool.take());
            }
            const block = this.blocks[this.blocks.length - 1];
            const copied = block === undefined ? 0 : part.copy(block, position, start);
            this.collectedBytes += copied;
            start += copied;
        }
    }
}
