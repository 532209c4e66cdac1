/**
 * The platform's object store over HTTP.
 */
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import { ObjectStore } from "./objectStore.js";
import { parseResponse, type PlatformConnection } from "./platformConnection.js";
import { PlatformError } from "./platformError.js";
import { createObjectPath, maximumObjectBytes, notFoundResponseSchema, platformStatus } from "./platformProtocol.js";

/** Largest response body to the write of an object. */
const maximumPutResponseBytes = 64 * 1024;

/** Accesses the platform's object store over HTTP. */
export class HttpObjectStore extends ObjectStore {
    /**
     * @param connection - the process's connections to the platform
     */
    public constructor(private readonly connection: PlatformConnection) {
        super();
    }

    /** {@inheritDoc ObjectStore.put} */
    public override async put(name: string, body: Uint8Array): Promise<Result<void, PlatformError>> {
        if (body.length > maximumObjectBytes) {
            const message = `The object ${name} exceeds ${maximumObjectBytes} bytes; reduce its content`;
            return Err(new PlatformError("invalid", message));
        }
        const response = await this.connection.write({
            method: "PUT",
            path: createObjectPath(name),
            body,
            maximumResponseBytes: maximumPutResponseBytes,
        });
        return response.andThen(content =>
            content.status === platformStatus.ok ? Ok(undefined) : Err(createStatusError(content.status))
        );
    }

    /** {@inheritDoc ObjectStore.get} */
    public override async get(name: string): Promise<Result<Uint8Array | undefined, PlatformError>> {
        const response = await this.connection.read({
            method: "GET",
            path: createObjectPath(name),
            maximumResponseBytes: maximumObjectBytes,
        });
        if (response.err) {
            return response;
        }
        if (response.val.status === platformStatus.notFound) {
            return parseResponse(response.val, notFoundResponseSchema).map(() => undefined);
        }
        return response.val.status === platformStatus.ok
            ? Ok(response.val.body)
            : Err(createStatusError(response.val.status));
    }
}

function createStatusError(status: number): PlatformError {
    return new PlatformError("invalid", `The object store responded with status ${status}; check platform.url`);
}
