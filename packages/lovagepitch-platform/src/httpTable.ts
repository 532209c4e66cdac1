/**
 * The platform's table over HTTP.
 */
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import { parseResponse, type PlatformConnection, type PlatformResponse } from "./platformConnection.js";
import { PlatformError } from "./platformError.js";
import {
    conflictResponseSchema,
    listingPath,
    listingResponseSchema,
    maximumTableBodyBytes,
    maximumTransactionWrites,
    notFoundResponseSchema,
    platformStatus,
    rowPath,
    rowResponseSchema,
    transactionPath,
    writeResponseSchema,
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
        const request = { method: "GET", path: rowPath(key), maximumResponseBytes: maximumTableBodyBytes } as const;
        const answer = await this.connection.read(request);
        if (answer.err) {
            return answer;
        }
        if (answer.val.status === platformStatus.notFound) {
            return parseResponse(answer.val, notFoundResponseSchema).map(() => undefined);
        }
        return parseResponse(answer.val, rowResponseSchema).map(content => content.row);
    }

    /** {@inheritDoc TableService.list} */
    public override async list(prefix: string): Promise<Result<readonly TableRow[], PlatformError>> {
        const request = {
            method: "GET",
            path: listingPath(prefix),
            maximumResponseBytes: maximumTableBodyBytes,
        } as const;
        const answer = await this.connection.read(request);
        return answer.andThen(content => parseResponse(content, listingResponseSchema)).map(content => content.rows);
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
            maximumResponseBytes: maximumTableBodyBytes,
        });
        return answer.andThen(content => parseWriteResponse(content, writes.length));
    }
}

function parseWriteResponse(answer: PlatformResponse, writes: number): Result<readonly string[], PlatformError> {
    if (answer.status === platformStatus.conflict) {
        return Err(parseConflict(answer));
    }
    if (answer.status !== platformStatus.ok) {
        const message = `The platform refused a transaction with status ${answer.status}; check versions and keys`;
        return Err(new PlatformError("invalid", message));
    }
    const content = parseResponse(answer, writeResponseSchema);
    if (content.err || content.val.etags.length !== writes) {
        return Err(createMalformedError());
    }
    return Ok(content.val.etags);
}

function parseConflict(answer: PlatformResponse): PlatformError {
    const content = parseResponse(answer, conflictResponseSchema);
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
