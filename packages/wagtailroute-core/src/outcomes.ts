/**
What a caller is told about the execution of its request.
*/

/**
`ran`: a backend server ran it and the answer is that server's. `not-run`: no backend server ran it, so a resend is safe.
`unknown`: it may have run.
*/
export type Outcome = 'ran' | 'not-run' | 'unknown';

/**
How the requests of a route may be treated. `read` has no effect on the backend server's state and may be hedged,
`idempotent` may be sent again, `non-idempotent` runs at most once, `upload` too: its body is large and passed on as it comes.
*/
export type RequestClass = 'read' | 'idempotent' | 'non-idempotent' | 'upload';

/**
Says whether running a request of this class twice does no harm.
*/
export function isIdempotent(requestClass: RequestClass): boolean {
	return requestClass === 'read' || requestClass === 'idempotent';
}
