/**
 * Deterministic in-memory stand-ins for the platform's table and object store.
 */
import { ObjectStore } from "@lovagepitch/platform/objectStore";
import { PlatformError } from "@lovagepitch/platform/platformError";
import { type ConditionalWrite, type TableRow, TableService } from "@lovagepitch/platform/tableService";
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import { PlatformFaults } from "./platformFaults.js";

interface StoredRow {
    /** Value as JSON text, so that readers cannot modify the stored value. */
    readonly text: string;
    readonly etag: string;
}

function createLostWriteError(): PlatformError {
    return new PlatformError(
        "unavailable",
        "The answer to a write was lost; read the rows to find out whether it took effect",
    );
}

/** In-memory table; each operation is atomic. */
export class MemoryTable extends TableService {
    private readonly rows = new Map<string, StoredRow>();
    private lastEtag = 0;
    private receivedTransactions = 0;

    /**
     * @param faults - faults that apply to the operations of the table
     */
    public constructor(public readonly faults: PlatformFaults = new PlatformFaults()) {
        super();
    }

    /** Number of transactions received, whether they were applied or not. */
    public get transactionCount(): number {
        return this.receivedTransactions;
    }

    /** {@inheritDoc TableService.read} */
    public override async read(key: string): Promise<Result<TableRow | undefined, PlatformError>> {
        const failure = await this.faults.beginOperation();
        return failure === undefined ? Ok(this.findRow(key)) : Err(failure);
    }

    /** {@inheritDoc TableService.list} */
    public override async list(prefix: string): Promise<Result<readonly TableRow[], PlatformError>> {
        const failure = await this.faults.beginOperation();
        if (failure !== undefined) {
            return Err(failure);
        }
        const keys = [...this.rows.keys()].filter(key => key.startsWith(prefix)).sort();
        return Ok(keys.map(key => this.findRow(key)).filter(row => row !== undefined));
    }

    /** {@inheritDoc TableService.write} */
    public override async write(
        writes: readonly ConditionalWrite[],
    ): Promise<Result<readonly string[], PlatformError>> {
        const failure = await this.faults.beginOperation();
        if (failure !== undefined) {
            return Err(failure);
        }
        this.receivedTransactions += 1;
        switch (this.faults.nextWriteOutcome()) {
            case "answered":
                return this.applyTransaction(writes);
            case "answer-lost":
                this.applyTransaction(writes);
                return Err(createLostWriteError());
            case "request-lost":
                return Err(createLostWriteError());
            case "held":
                this.faults.deferWrite(() => this.applyTransaction(writes));
                return Err(createLostWriteError());
        }
    }

    private findRow(key: string): TableRow | undefined {
        const row = this.rows.get(key);
        return row === undefined ? undefined : { key, value: JSON.parse(row.text), etag: row.etag };
    }

    private applyTransaction(writes: readonly ConditionalWrite[]): Result<readonly string[], PlatformError> {
        const keys = new Set(writes.map(write => write.key));
        if (keys.size !== writes.length) {
            return Err(
                new PlatformError("invalid", "A transaction names a row twice; join the writes"),
            );
        }
        const conflictingKeys = writes.filter(write => !this.isConditionMet(write)).map(write => write.key);
        if (conflictingKeys.length > 0) {
            const message = `The rows ${conflictingKeys.join(", ")} have changed; read them and try again`;
            return Err(new PlatformError("conflict", message, conflictingKeys));
        }
        return Ok(writes.map(write => this.storeRow(write)));
    }

    private isConditionMet(write: ConditionalWrite): boolean {
        const row = this.rows.get(write.key);
        switch (write.condition.kind) {
            case "always":
                return true;
            case "absent":
                return row === undefined;
            case "etag":
                return row?.etag === write.condition.etag;
        }
    }

    private storeRow(write: ConditionalWrite): string {
        if (write.value === undefined) {
            this.rows.delete(write.key);
            return "";
        }
        this.lastEtag += 1;
        const etag = String(this.lastEtag);
        this.rows.set(write.key, { text: JSON.stringify(write.value), etag });
        return etag;
    }
}

/** In-memory object store. */
export class MemoryObjectStore extends ObjectStore {
    private readonly objects = new Map<string, Uint8Array>();

    /**
     * @param faults - faults that apply to the operations of the store
     */
    public constructor(public readonly faults: PlatformFaults = new PlatformFaults()) {
        super();
    }

    /** {@inheritDoc ObjectStore.put} */
    public override async put(name: string, body: Uint8Array): Promise<Result<void, PlatformError>> {
        const failure = await this.faults.beginOperation();
        if (failure !== undefined) {
            return Err(failure);
        }
        const copy = Uint8Array.from(body);
        switch (this.faults.nextWriteOutcome()) {
            case "answered":
                this.objects.set(name, copy);
                return Ok(undefined);
            case "answer-lost":
                this.objects.set(name, copy);
                return Err(createLostWriteError());
            case "request-lost":
                return Err(createLostWriteError());
            case "held":
                this.faults.deferWrite(() => this.objects.set(name, copy));
                return Err(createLostWriteError());
        }
    }

    /** {@inheritDoc ObjectStore.get} */
    public override async get(name: string): Promise<Result<Uint8Array | undefined, PlatformError>> {
        const failure = await this.faults.beginOperation();
        if (failure !== undefined) {
            return Err(failure);
        }
        const stored = this.objects.get(name);
        return Ok(stored === undefined ? undefined : Uint8Array.from(stored));
    }
}
