/** A table in memory that can be switched off, and can lose the answer of a write. */
import { PlatformError } from "@lovagepitch/platform/platformError";
import { type ConditionalWrite, type TableRow, TableService } from "@lovagepitch/platform/tableService";
import { Err, Ok, type Result } from "@lovagepitch/utils/result";

/** What the table does to the next requests. */
export type TableFault = "none" | "down" | "lost-write-answer";

export class MemoryTable extends TableService {
    public fault: TableFault = "none";
    private readonly rows = new Map<string, TableRow>();
    private writes = 0;

    public override async read(key: string): Promise<Result<TableRow | undefined, PlatformError>> {
        await Promise.resolve();
        return this.fault === "down" ? unavailable() : Ok(this.rows.get(key));
    }

    public override async list(prefix: string): Promise<Result<readonly TableRow[], PlatformError>> {
        await Promise.resolve();
        const keys = [...this.rows.keys()].filter(key => key.startsWith(prefix)).sort();
        return this.fault === "down" ? unavailable() : Ok(keys.map(key => this.rows.get(key) as TableRow));
    }

    public override async write(
        writes: readonly ConditionalWrite[],
    ): Promise<Result<readonly string[], PlatformError>> {
        await Promise.resolve();
        if (this.fault === "down") {
            return unavailable();
        }
        if (!writes.every(write => this.holds(write))) {
            return Err(new PlatformError("conflict", "a condition does not hold; read again"));
        }
        const etags = writes.map(({ key, value }) => {
            this.writes += 1;
            const etag = String(this.writes);
            this.rows.set(key, { key, value, etag });
            return etag;
        });
        if (this.fault === "lost-write-answer") {
            this.fault = "none";
            return unavailable();
        }
        return Ok(etags);
    }

    private holds({ key, condition }: ConditionalWrite): boolean {
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

function unavailable(): Result<never, PlatformError> {
    return Err(new PlatformError("unavailable", "The table gave no answer; try again later"));
}
