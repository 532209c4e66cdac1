/**
 * The platform's table over HTTP.
 */
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import { parseResponse, type PlatformConnection, type PlatformResponse } from "./platformConnection.js";
import { PlatformError } from "./platformError.js";
import {
    conflictResponseSchema,
    createListingPath,
    createRowPath,
    listingResponseSchema,
    maximumTableBodyBytes,
    maximumTransactionWrites,
    notFoundResponseSchema,
    platformStatus,
    rowResponseSchema,
    transactionPath,
    writeResponseSchema,
} from "./platformProtocol.js";
import { type ConditionalWrite, type TableRow, TableService } from "./tableService.js";

/** Accesses the platform's table over HTTP. */
export class HttpTable extends TableService {
    /**
     * @param connection - the process's connections to the platform
     */
    public constructor(private readonly connection: PlatformConnection) {
        super();
    }

    /** {@inheritDoc TableService.read} */
    public override async read(key: string): Promise<Result<TableRow | undefined, PlatformError>> {
        const request = {
            method: "GET",
            path: createRowPath(key),
            maximumResponseBytes: maximumTableBodyBytes,
        } as const;
        const response = await this.connection.read(request);
        if (response.err) {
            return response;
        }
        if (response.val.status === platformStatus.notFound) {
            return parseResponse(response.val, notFoundResponseSchema).map(() => undefined);
        }
        return parseResponse(response.val, rowResponseSchema).map(content => content.row);
    }

    /** {@inheritDoc TableService.list} */
    public override async list(prefix: string): Promise<Result<readonly TableRow[], PlatformError>> {
        const request = {
            method: "GET",
            path: createListingPath(prefix),
            maximumResponseBytes: maximumTableBodyBytes,
        } as const;
        const response = await this.connection.read(request);
        return response.andThen(content => parseResponse(content, listingResponseSchema)).map(content => content.rows);
    }

    /** {@inheritDoc TableService.write} */
    public override async write(
        writes: readonly ConditionalWrite[],
    ): Promise<Result<readonly string[], PlatformError>> {
        const body = JSON.stringify({ writes });
        if (writes.length > maximumTransactionWrites || Buffer.byteLength(body) > maximumTableBodyBytes) {
            return Err(new PlatformError("invalid", "The transaction is too large; split it"));
        }
        const response = await this.connection.write({
            method: "POST",
            path: transactionPath,
            body,
            maximumResponseBytes: maximumTableBodyBytes,
        });
        return response.andThen(content => parseWriteResponse(content, writes.length));
    }
}

function parseWriteResponse(response: PlatformResponse, writes: number): Result<readonly string[], PlatformError> {
    if (response.status === platformStatus.conflict) {
        return Err(parseConflict(response));
    }
    if (response.status !== platformStatus.ok) {
        const message = `The platform refused a transaction with status ${response.status}; check versions and keys`;
        return Err(new PlatformError("invalid", message));
    }
    const content = parseResponse(response, writeResponseSchema);
    if (content.err || content.val.etags.length !== writes) {
        return Err(createMalformedError());
    }
    return Ok(content.val.etags);
}

function parseConflict(response: PlatformResponse): PlatformError {
    const content = parseResponse(response, conflictResponseSchema);
    if (content.err) {
        return createMalformedError();
    }
    const keys = content.val.conflictingKeys;
    const message = `The rows ${keys.join(", ")} have changed; read them and try again`;
    return new PlatformError("conflict", message, keys);
}

function createMalformedError(): PlatformError {
    // The service may have committed the transaction; only reading the rows back shows whether it did.
    return new PlatformError("unavailable", "The response to a transaction is malformed; read the rows back");
}
