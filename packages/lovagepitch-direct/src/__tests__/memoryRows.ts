/**
 * In-memory rows of one table of the store, with faults of single writes.
 */
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import {
    type RowsView,
    type SharedRow,
    SharedRows,
    type StoreFailure,
    type VersionedRow,
} from "../process/sharedRows.js";

/** Rows of one table; a watch returns after the next write. */
export class MemoryRows extends SharedRows {
    public calls = 0;
    /** True while every call fails without effect. */
    public isDown = false;
    /** Number of next conditional writes that get no answer and take effect only when `executeDelayedWrites` is called. */
    public delayedWrites = 0;
    private readonly rows = new Map<string, SharedRow & VersionedRow>();
    private version = 1;
    private wakeWatchers: (() => void)[] = [];
    private pendingWrites: (() => void)[] = [];

    public override read(): Promise<Result<RowsView, StoreFailure>> {
        this.calls += 1;
        return Promise.resolve(Ok({ rows: [...this.rows.values()], version: this.version, storeMilliseconds: 1000 }));
    }

    public override async watch(
        _table: string,
        version: number,
        waitMilliseconds: number,
    ): Promise<Result<RowsView, StoreFailure>> {
        this.calls += 1;
        if (version >= this.version) {
            await new Promise<void>(resolve => {
                this.wakeWatchers.push(resolve);
                setTimeout(resolve, waitMilliseconds).unref();
            });
        }
        return Ok({ rows: [], version: this.version, storeMilliseconds: 1000 });
    }

    public override write(_table: string, key: string, value: unknown): Promise<Result<undefined, StoreFailure>> {
        this.calls += 1;
        this.put(key, value);
        return Promise.resolve(Ok(undefined));
    }

    public override readRow(_table: string, key: string): Promise<Result<VersionedRow, StoreFailure>> {
        this.calls += 1;
        return Promise.resolve(
            this.isDown ? Err(unavailable) : Ok(this.rows.get(key) ?? { value: undefined, version: 0 }),
        );
    }

    public override replace(
        _table: string,
        key: string,
        value: unknown,
        expectedVersion: number,
    ): Promise<Result<number, StoreFailure>> {
        this.calls += 1;
        const execute = (): boolean => {
            const isExpected = (this.rows.get(key)?.version ?? 0) === expectedVersion;
            if (isExpected) {
                this.put(key, value);
            }
            return isExpected;
        };
        if (this.delayedWrites > 0) {
            this.delayedWrites -= 1;
            this.pendingWrites.push(execute);
            return Promise.resolve(Err(unavailable));
        }
        if (this.isDown) {
            return Promise.resolve(Err(unavailable));
        }
        return Promise.resolve(
            execute() ? Ok(this.version) : Err({ kind: "conflict", message: "the row has changed" }),
        );
    }

    /** Executes the writes that got no answer, each if its condition still holds. */
    public executeDelayedWrites(): void {
        this.pendingWrites.splice(0).forEach(execute => execute());
    }

    private put(key: string, value: unknown): void {
        this.version += 1;
        this.rows.set(key, { key, value, isRemoved: false, version: this.version });
        this.wakeWatchers.splice(0).forEach(wake => wake());
    }
}

const unavailable: StoreFailure = { kind: "unavailable", message: "the store does not answer" };
