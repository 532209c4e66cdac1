/**
 * In-memory fakes of the platform's services, which can be made unavailable.
 */
import { ObjectStore } from "@lovagepitch/platform/objectStore";
import { PlatformError } from "@lovagepitch/platform/platformError";
import { type ConditionalWrite, type TableRow, TableService } from "@lovagepitch/platform/tableService";
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import type { PlatformServices } from "../process/platformClients.js";

/** The table and the object store of one scenario. */
export class MemoryPlatform {
    /** Whether every request fails. */
    public isDown = false;
    /** The table. */
    public readonly table: TableService = new MemoryTable(this);
    /** The object store. */
    public readonly objects: ObjectStore = new MemoryObjects(this);

    /** The services as a process reaches them. */
    public get services(): PlatformServices {
        return { table: this.table, objects: this.objects, close: () => Promise.resolve() };
    }

    /** Returns the result of a request, or an error while the platform is down. */
    public respond<Value>(read: () => Result<Value, PlatformError>): Promise<Result<Value, PlatformError>> {
        return Promise.resolve(this.isDown ? Err(new PlatformError("unavailable", "the fake is down")) : read());
    }
}

class MemoryTable extends TableService {
    private readonly rows = new Map<string, TableRow>();
    private lastEtag = 0;

    public constructor(private readonly platform: MemoryPlatform) {
        super();
    }

    public override read(key: string): Promise<Result<TableRow | undefined, PlatformError>> {
        return this.platform.respond(() => Ok(this.rows.get(key)));
    }

    public override list(prefix: string): Promise<Result<readonly TableRow[], PlatformError>> {
        return this.platform.respond(() => {
            const rows = [...this.rows.values()].filter(row => row.key.startsWith(prefix));
            return Ok(rows.sort((left, right) => left.key < right.key ? -1 : 1));
        });
    }

    public override write(writes: readonly ConditionalWrite[]): Promise<Result<readonly string[], PlatformError>> {
        return this.platform.respond(() => {
            const conflicts = writes.filter(write => !this.isConditionMet(write)).map(write => write.key);
            if (conflicts.length > 0) {
                return Err(new PlatformError("conflict", "rows have changed", conflicts));
            }
            return Ok(writes.map(write => this.store(write)));
        });
    }

    private isConditionMet({ key, condition }: ConditionalWrite): boolean {
        const row = this.rows.get(key);
        return condition.kind === "always" || row?.etag === (condition.kind === "etag" ? condition.etag : undefined);
    }

    private store({ key, value }: ConditionalWrite): string {
        this.lastEtag += 1;
        const etag = String(this.lastEtag);
        if (value === undefined) {
            this.rows.delete(key);
        }
        else {
            this.rows.set(key, { key, value: structuredClone(value), etag });
        }
        return etag;
    }
}

class MemoryObjects extends ObjectStore {
    private readonly objects = new Map<string, Uint8Array>();

    public constructor(private readonly platform: MemoryPlatform) {
        super();
    }

    public override put(name: string, body: Uint8Array): Promise<Result<void, PlatformError>> {
        return this.platform.respond(() => {
            this.objects.set(name, body);
            return Ok(undefined);
        });
    }

    public override get(name: string): Promise<Result<Uint8Array | undefined, PlatformError>> {
        return this.platform.respond(() => Ok(this.objects.get(name)));
    }
}
