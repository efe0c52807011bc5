/**
Where the body of a response ends (RFC 9112, section 6.3).

undici's parser recognises the coding `chunked` only as it is usually written. In a field such as `chunked` with a tab behind it, which is valid, it takes the chunks with their
sizes for the body, which then ends with the connection: wherever that ended, the body would look complete.
*/
import type {HeaderFields} from './headers.ts';

/**
End of a body. `none`: there is no body. `length`, `chunks`: the end shows in the body. `connection`: the end of the connection. `unclear`: the parser may take another end than
the upstream's.
*/
export type Framing = 'none' | 'length' | 'chunks' | 'connection' | 'unclear';

const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

const CHUNKED = 'chunked';

/**
The last coding as the parser recognises it.
*/
const CHUNKED_PATTERN = /(?:^|,)[\t ]*chunked *$/v;

/**
Returns the framing of a final response.

@param method Method of its request.
*/
export function readFraming(method: string, status: number, {'transfer-encoding': codings, 'content-length': length}: HeaderFields): Framing {
	if (method === 'HEAD' || BODILESS_STATUSES.has(status)) {
		return 'none';
	}

	return codings === undefined ? (length === undefined ? 'connection' : 'length') : readCodings(codings.toString().toLowerCase());
}

function readCodings(codings: string): Framing {
	if (!codings.includes(CHUNKED)) {
		return 'connection';
	}

	return CHUNKED_PATTERN.test(codings) ? 'chunks' : 'unclear';
}
