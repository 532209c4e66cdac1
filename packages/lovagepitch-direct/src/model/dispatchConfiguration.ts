/**
 * The operator's configuration: which requests go to which service.
 */

/** Rules for jobs of one kind: host and path that receive them, service that runs them, and their objectives. */
export interface Route {
    readonly name: string;
    /** Host name that requests carry, in lower case. */
    readonly host: string;
    /** Prefix of the path; the longest matching prefix selects the route. */
    readonly pathPrefix: string;
    readonly service: string;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly maximumAttempts: number;
    /** A job is on time when it ends within this multiple of its longest task, plus the allowance. */
    readonly stretch: number;
    readonly allowanceMilliseconds: number;
}

/** Limits on callers' connections. */
export interface CallerLimits {
    readonly maximumHeaderBytes: number;
    readonly maximumBodyBytes: number;
    readonly headerTimeoutMilliseconds: number;
    readonly idleTimeoutMilliseconds: number;
}

/** One version of the configuration; a later version replaces it completely. */
export interface DispatchConfiguration {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly callerLimits: CallerLimits;
}

/**
 * Tells whether a request matches a route.
 *
 * @param route - the route
 * @param host - host name of the request in lower case, without a port
 * @param path - path of the request, without a query
 * @returns true when the host is that of the route and the path begins with its prefix
 */
export function matchesRoute(route: Route, host: string, path: string): boolean {
    return route.host === host && path.startsWith(route.pathPrefix);
}

/**
 * Finds the route of a request.
 *
 * @param configuration - the version in force
 * @param host - host name of the request in lower case, without a port
 * @param path - path of the request, without a query
 * @returns the route with the longest matching prefix, or undefined when there is none
 */
export function findRoute(configuration: DispatchConfiguration, host: string, path: string): Route | undefined {
    let found: Route | undefined;
    for (const route of configuration.routes) {
        if (
            matchesRoute(route, host, path)
            && (found === undefined || route.pathPrefix.length > found.pathPrefix.length)
        ) {
            found = route;
        }
    }
    return found;
}
