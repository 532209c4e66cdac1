/**
 * Priority queue, implemented as a binary heap.
 */

interface QueuedItem<Item> {
    readonly priority: number;
    /** Sequence number of the insertion, which orders items of equal priority. */
    readonly insertionNumber: number;
    readonly item: Item;
}

/** Queue of items by ascending priority number; items of equal priority are removed in order of insertion. */
export class PriorityQueue<Item> {
    private readonly heap: QueuedItem<Item>[] = [];
    private insertionCount = 0;

    /** Number of queued items. */
    public get size(): number {
        return this.heap.length;
    }

    /**
     * Inserts an item.
     *
     * @param priority - items with lower numbers are removed first
     * @param item - item to queue
     */
    public push(priority: number, item: Item): void {
        this.insertionCount += 1;
        this.heap.push({ priority, insertionNumber: this.insertionCount, item });
        this.siftUp(this.heap.length - 1);
    }

    /**
     * Returns the first item without removing it.
     *
     * @returns the item, or undefined when the queue is empty
     */
    public peek(): Item | undefined {
        return this.heap[0]?.item;
    }

    /**
     * Returns the priority of the first item.
     *
     * @returns the priority, or undefined when the queue is empty
     */
    public peekPriority(): number | undefined {
        return this.heap[0]?.priority;
    }

    /**
     * Removes the first item.
     *
     * @returns the item, or undefined when the queue is empty
     */
    public pop(): Item | undefined {
        const first = this.heap[0];
        const last = this.heap.pop();
        if (first === undefined || last === undefined) {
            return undefined;
        }
        if (this.heap.length > 0) {
            this.heap[0] = last;
            this.siftDown(0);
        }
        return first.item;
    }

    private siftUp(start: number): void {
        let position = start;
        while (position > 0) {
            const parent = (position - 1) >> 1;
            if (!this.isBefore(position, parent)) {
                return;
            }
            this.swap(position, parent);
            position = parent;
        }
    }

    private siftDown(start: number): void {
        let position = start;
        for (;;) {
            const left = 2 * position + 1;
            const right = left + 1;
            let first = position;
            if (left < this.heap.length && this.isBefore(left, first)) {
                first = left;
            }
            if (right < this.heap.length && this.isBefore(right, first)) {
                first = right;
            }
            if (first === position) {
                return;
            }
            this.swap(position, first);
            position = first;
        }
    }

    private isBefore(left: number, right: number): boolean {
        const leftItem = this.heap[left]!;
        const rightItem = this.heap[right]!;
        return leftItem.priority < rightItem.priority
            || (leftItem.priority === rightItem.priority && leftItem.insertionNumber < rightItem.insertionNumber);
    }

    private swap(left: number, right: number): void {
        const leftItem = this.heap[left]!;
        this.heap[left] = this.heap[right]!;
        this.heap[right] = leftItem;
    }
}
