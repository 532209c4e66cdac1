/**
 * The platform's table over HTTP.
 */
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import { parseAnswer, type PlatformAnswer, type PlatformConnection } from "./platformConnection.js";
import { PlatformError } from "./platformError.js";
import {
    absentAnswerSchema,
    conflictAnswerSchema,
    listingPath,
    maximumTableBodyBytes,
    maximumTransactionWrites,
    platformStatus,
    rowAnswerSchema,
    rowPath,
    rowsAnswerSchema,
    transactionPath,
    writeAnswerSchema,
} from "./platformProtocol.js";
import { type ConditionalWrite, type TableRow, TableService } from "./tableService.js";

/** Rows of the platform's table. */
export class HttpTable extends TableService {
    /**
     * @param connection - the process's connections to the platform
     */
    public constructor(private readonly connection: PlatformConnection) {
        super();
    }

    /** {@inheritDoc TableService.read} */
    public override async read(key: string): Promise<Result<TableRow | undefined, PlatformError>> {
        const request = { method: "GET", path: rowPath(key), maximumAnswerBytes: maximumTableBodyBytes } as const;
        const answer = await this.connection.read(request);
        if (answer.err) {
            return answer;
        }
        if (answer.val.status === platformStatus.notFound) {
            return parseAnswer(answer.val, absentAnswerSchema).map(() => undefined);
        }
        return parseAnswer(answer.val, rowAnswerSchema).map(content => content.row);
    }

    /** {@inheritDoc TableService.list} */
    public override async list(prefix: string): Promise<Result<readonly TableRow[], PlatformError>> {
        const request = {
            method: "GET",
            path: listingPath(prefix),
            maximumAnswerBytes: maximumTableBodyBytes,
        } as const;
        const answer = await this.connection.read(request);
        return answer.andThen(content => parseAnswer(content, rowsAnswerSchema)).map(content => content.rows);
    }

    /** {@inheritDoc TableService.write} */
    public override async write(
        writes: readonly ConditionalWrite[],
    ): Promise<Result<readonly string[], PlatformError>> {
        const body = JSON.stringify({ writes });
        if (writes.length > maximumTransactionWrites || Buffer.byteLength(body) > maximumTableBodyBytes) {
            return Err(new PlatformError("invalid", "The transaction is too large; split it"));
        }
        const answer = await this.connection.write({
            method: "POST",
            path: transactionPath,
            body,
            maximumAnswerBytes: maximumTableBodyBytes,
        });
        return answer.andThen(content => readWriteAnswer(content, writes.length));
    }
}

function readWriteAnswer(answer: PlatformAnswer, writes: number): Result<readonly string[], PlatformError> {
    if (answer.status === platformStatus.conflict) {
        return Err(readConflict(answer));
    }
    if (answer.status !== platformStatus.ok) {
        const message = `The platform refused a transaction with status ${answer.status}; check versions and keys`;
        return Err(new PlatformError("invalid", message));
    }
    const content = parseAnswer(answer, writeAnswerSchema);
    if (content.err || content.val.etags.length !== writes) {
        return Err(createMalformedError());
    }
    return Ok(content.val.etags);
}

function readConflict(answer: PlatformAnswer): PlatformError {
    const content = parseAnswer(answer, conflictAnswerSchema);
    if (content.err) {
        return createMalformedError();
    }
    const keys = content.val.conflictingKeys;
    const message = `The rows ${keys.join(", ")} have changed; read them and try again`;
    return new PlatformError("conflict", message, keys);
}

function createMalformedError(): PlatformError {
    // The service may have written, so only reading the rows back tells.
    return new PlatformError("unavailable", "The answer to a transaction is malformed; read the rows back");
}
