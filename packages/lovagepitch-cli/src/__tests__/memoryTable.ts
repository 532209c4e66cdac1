/** In-memory platform table that can be made unavailable or lose the response of a write. */
import { PlatformError } from "@lovagepitch/platform/platformError";
import { type ConditionalWrite, type TableRow, TableService } from "@lovagepitch/platform/tableService";
import { Err, Ok, type Result } from "@lovagepitch/utils/result";

/** Fault that the table injects into the next requests. */
export type TableFault = "none" | "down" | "lost-write-answer";

export class MemoryTable extends TableService {
    public fault: TableFault = "none";
    private readonly rows = new Map<string, TableRow>();
    private writeCount = 0;

    public override async read(key: string): Promise<Result<TableRow | undefined, PlatformError>> {
        await Promise.resolve();
        return this.fault === "down" ? createUnavailableError() : Ok(this.rows.get(key));
    }

    public override async list(prefix: string): Promise<Result<readonly TableRow[], PlatformError>> {
        await Promise.resolve();
        const keys = [...this.rows.keys()].filter(key => key.startsWith(prefix)).sort();
        return this.fault === "down" ? createUnavailableError() : Ok(keys.map(key => this.rows.get(key) as TableRow));
    }

    public override async write(
        writes: readonly ConditionalWrite[],
    ): Promise<Result<readonly string[], PlatformError>> {
        await Promise.resolve();
        if (this.fault === "down") {
            return createUnavailableError();
        }
        if (!writes.every(write => this.isConditionMet(write))) {
            return Err(new PlatformError("conflict", "a condition is not met; read the row again"));
        }
        const etags = writes.map(({ key, value }) => {
            this.writeCount += 1;
            const etag = String(this.writeCount);
            this.rows.set(key, { key, value, etag });
            return etag;
        });
        if (this.fault === "lost-write-answer") {
            this.fault = "none";
            return createUnavailableError();
        }
        return Ok(etags);
    }

    private isConditionMet({ key, condition }: ConditionalWrite): boolean {
        const row = this.rows.get(key);
        switch (condition.kind) {
            case "always":
                return true;
            case "absent":
                return row === undefined;
            case "etag":
                return row?.etag === condition.etag;
        }
    }
}

function createUnavailableError(): Result<never, PlatformError> {
    return Err(new PlatformError("unavailable", "The table did not respond; retry later"));
}
