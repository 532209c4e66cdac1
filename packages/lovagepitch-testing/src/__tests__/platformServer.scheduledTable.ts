import { PlatformError } from "@lovagepitch/platform/platformError";
import { type ConditionalWrite, TableService } from "@lovagepitch/platform/tableService";
import { Err } from "@lovagepitch/utils/result";
import type { Scheduler } from "fast-check";

/** What becomes of one call. */
export type CallFate = "answered" | "answer-lost" | "request-lost" | "applied-late";

/** A table whose calls take effect, and are answered, in an order that fast-check chooses. */
export class ScheduledTable extends TableService {
    private calls = 0;

    /**
     * @param table - the table that all processes share
     * @param scheduler - chooses the order
     * @param fates - fates of this process's calls, over and over
     */
    public constructor(
        private readonly table: TableService,
        private readonly scheduler: Scheduler,
        private readonly fates: readonly CallFate[],
    ) {
        super();
    }

    public override async read(key: string): ReturnType<TableService["read"]> {
        return this.call(() => this.table.read(key), () => undefined);
    }

    public override async list(prefix: string): ReturnType<TableService["list"]> {
        return this.call(() => this.table.list(prefix), () => undefined);
    }

    public override async write(writes: readonly ConditionalWrite[]): ReturnType<TableService["write"]> {
        const write = (): ReturnType<TableService["write"]> => this.table.write(writes);
        return this.call(write, () => void this.pause("late write").then(write));
    }

    private async call<Answer extends Awaited<ReturnType<TableService["read" | "list" | "write"]>>>(
        send: () => Promise<Answer>,
        sendLate: () => void,
    ): Promise<Answer> {
        const fate = this.fates[this.calls % this.fates.length] ?? "answered";
        this.calls += 1;
        await this.pause("request");
        if (fate === "request-lost") {
            return createLost() as Answer;
        }
        if (fate === "applied-late") {
            sendLate();
            return createLost() as Answer;
        }
        const answer = await send();
        await this.pause("answer");
        return fate === "answer-lost" ? createLost() as Answer : answer;
    }

    private pause(label: string): Promise<void> {
        return this.scheduler.schedule(Promise.resolve(), label);
    }
}

function createLost(): ReturnType<typeof Err<PlatformError>> {
    return Err(new PlatformError("unavailable", "A scheduled fault; read the rows back"));
}
