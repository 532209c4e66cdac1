/**
 * The platform's object store over HTTP.
 */
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import { ObjectStore } from "./objectStore.js";
import { parseResponse, type PlatformConnection } from "./platformConnection.js";
import { PlatformError } from "./platformError.js";
import { maximumObjectBytes, notFoundResponseSchema, objectPath, platformStatus } from "./platformProtocol.js";

/** Longest answer to a written object, in bytes. */
const maximumPutResponseBytes = 64 * 1024;

/** Objects of the platform's object store. */
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
            const message = `The object ${name} is over ${maximumObjectBytes} bytes; keep less`;
            return Err(new PlatformError("invalid", message));
        }
        const answer = await this.connection.write({
            method: "PUT",
            path: objectPath(name),
            body,
            maximumResponseBytes: maximumPutResponseBytes,
        });
        return answer.andThen(content =>
            content.status === platformStatus.ok ? Ok(undefined) : Err(createStatusError(content.status))
        );
    }

    /** {@inheritDoc ObjectStore.get} */
    public override async get(name: string): Promise<Result<Uint8Array | undefined, PlatformError>> {
        const answer = await this.connection.read({
            method: "GET",
            path: objectPath(name),
            maximumResponseBytes: maximumObjectBytes,
        });
        if (answer.err) {
            return answer;
        }
        if (answer.val.status === platformStatus.notFound) {
            return parseResponse(answer.val, notFoundResponseSchema).map(() => undefined);
        }
        return answer.val.status === platformStatus.ok
            ? Ok(answer.val.body)
            : Err(createStatusError(answer.val.status));
    }
}

function createStatusError(status: number): PlatformError {
    return new PlatformError("invalid", `The object store answered with status ${status}; check platform.url`);
}
