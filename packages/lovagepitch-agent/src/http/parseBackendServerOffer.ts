/**
 * Checks of what a backend server announces.
 */
import type { BackendServerAnnouncement } from "@lovagepitch/types/registry";
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import { z } from "zod";

const maximumSlots = 4_096;
const maximumConnections = 4_096;
const maximumServices = 256;
const maximumUrlLength = 256;

const offerSchema = z.strictObject({
    url: z.string().max(maximumUrlLength).regex(/^http:\/\/[A-Za-z0-9.-]+:\d{1,5}$/, {
        error: "use an address such as http://127.0.0.1:8080",
    }),
    slots: z.int().min(1).max(maximumSlots),
    connections: z.int().min(1).max(maximumConnections),
    services: z.array(z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/)).min(1).max(maximumServices).readonly(),
}) satisfies z.ZodType<BackendServerAnnouncement>;

/**
 * Checks an announcement.
 *
 * @param body - the parsed body
 * @returns the offer, or what is wrong with it
 */
export function parseBackendServerOffer(body: unknown): Result<BackendServerAnnouncement, Error> {
    const parsed = offerSchema.safeParse(body);
    return parsed.success ? Ok(parsed.data) : Err(new Error(z.prettifyError(parsed.error)));
}
