/**
The head of a response: status line and header section.

Node's `writeHead` throws for what can't be sent and leaves the rest in the response, where a later call would send it: the status message and the fields of an
upstream's response under the status of another one.
*/
import type * as http from 'node:http';

/**
Head of an upstream's response.
*/
export type ResponseHead = {
	readonly status: number;
	/**
	Reason phrase as received; it carries no meaning (RFC 9112, section 4).
	*/
	readonly reason?: string;
	readonly headers: Readonly<Record<string, string | string[]>>;
};

/**
Reason phrases that are relayed. undici decodes them as UTF-8, so that what lies beyond ASCII may not be what the upstream sent.
*/
const REASON_PATTERN = /^[\t\u{20}-\u{7E}]*$/v;

/**
Writes the head of an upstream's response, with the usual reason phrase of its status where the one received can't be relayed. Returns whether the head was written;
otherwise the response is as before.
*/
export function relayHead(response: http.ServerResponse, {status, reason, headers}: ResponseHead): boolean {
	try {
		if (reason !== undefined && REASON_PATTERN.test(reason)) {
			response.writeHead(status, reason, headers);
		} else {
			response.writeHead(status, headers);
		}

		return true;
	} catch {
		resetHead(response);
		return false;
	}
}

/**
Removes what was set for a response that could not be written. A connection that is to be closed stays so.
*/
export function resetHead(response: http.ServerResponse): void {
	response.statusMessage = '';
	for (const name of response.getHeaderNames()) {
		if (name !== 'connection') {
			response.removeHeader(name);
		}
	}
}
