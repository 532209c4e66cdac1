import { PlatformError } from "@lovagepitch/platform/platformError";
import { type ConditionalWrite, TableService } from "@lovagepitch/platform/tableService";
import { Err } from "@lovagepitch/utils/result";
import type { Scheduler } from "fast-check";

/** Outcome of one call to the table. */
export type CallOutcome = "answered" | "answer-lost" | "request-lost" | "applied-late";

/** Table whose requests and responses take effect in an order that fast-check's scheduler chooses. */
export class ScheduledTable extends TableService {
    private callCount = 0;

    /**
     * @param table - table that all processes share
     * @param scheduler - chooses the order of requests and responses
     * @param outcomes - outcomes of this process's calls, repeated from the start at the end of the list
     */
    public constructor(
        private readonly table: TableService,
        private readonly scheduler: Scheduler,
        private readonly outcomes: readonly CallOutcome[],
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
        return this.call(write, () => void this.waitForTurn("late write").then(write));
    }

    private async call<Answer extends Awaited<ReturnType<TableService["read" | "list" | "write"]>>>(
        send: () => Promise<Answer>,
        sendLate: () => void,
    ): Promise<Answer> {
        const outcome = this.outcomes[this.callCount % this.outcomes.length] ?? "answered";
        this.callCount += 1;
        await this.waitForTurn("request");
        if (outcome === "request-lost") {
            return createLostCallError() as Answer;
        }
        if (outcome === "applied-late") {
            sendLate();
            return createLostCallError() as Answer;
        }
        const answer = await send();
        await this.waitForTurn("answer");
        return outcome === "answer-lost" ? createLostCallError() as Answer : answer;
    }

    private waitForTurn(label: string): Promise<void> {
        return this.scheduler.schedule(Promise.resolve(), label);
    }
}

function createLostCallError(): ReturnType<typeof Err<PlatformError>> {
    return Err(new PlatformError("unavailable", "The call was lost by a scheduled fault; read the rows back"));
}
