/**
Responses that a stand-in backend server cuts at any byte, and what a caller may get of each.
*/

/**
How the backend server's connection ends behind the cut.
*/
export type Closing = 'closed' | 'reset';

/**
A response in the parts that matter for a cut.
*/
export type CutResponse = {
	readonly name: string;
	readonly method?: 'GET' | 'HEAD';
	readonly status?: number;
	/**
	All up to the end of the final header section, interim responses included.
	*/
	readonly head: string;
	/**
	What follows the head, as sent.
	*/
	readonly body?: string;
	/**
	The body without its framing; that of `body` when absent.
	*/
	readonly content?: string;
	/**
	The body ends with its connection.
	*/
	readonly isUnframed?: boolean;
	/**
	No part of it is relayed, not even if all of it arrives.
	*/
	readonly isMalformed?: boolean;
};

/**
What a caller gets of a response that was cut. `refused`: a failure of the fleet, with an unknown outcome. `cut`: a response that doesn't look complete, or none. `whole`: one that does.
*/
export type Expected =
	| {readonly kind: 'refused'}
	| {readonly kind: 'cut'}
	| {readonly kind: 'whole'; readonly status: number; readonly content: string};

const LENGTH = {body: 'hello world'} as const;
const CHUNKED = {body: '5\r\nhello\r\n6;a=b\r\n world\r\n0\r\n\r\n', content: 'hello world'} as const;
const TRAILERS = {body: 'b\r\nhello world\r\n0\r\nx: y\r\nz: \r\n\r\n', content: 'hello world'} as const;
const UNFRAMED = {body: 'hello world', isUnframed: true} as const;

const OK = 'HTTP/1.1 200 OK\r\n';
const OLD = 'HTTP/1.0 200 OK\r\n';
const HINTS = 'HTTP/1.1 103 Early Hints\r\n';
const SIZED = 'content-length: 11\r\n';
const CHUNKS = 'transfer-encoding: chunked\r\n';
const CLOSE = 'connection: close\r\n';
const KEEP = 'connection: keep-alive\r\n';

/**
Responses of each framing, for all callers and paths of a request.
*/
export const MAIN_RESPONSES: readonly CutResponse[] = [
	{name: 'a length', head: `${OK}${SIZED}x: y\r\n\r\n`, ...LENGTH},
	{name: 'a length and close', head: `${OK}${CLOSE}${SIZED}\r\n`, ...LENGTH},
	{name: 'chunks', head: `${OK}${CHUNKS}x: y\r\n\r\n`, ...CHUNKED},
	{name: 'chunks and close', head: `${OK}${CLOSE}${CHUNKS}\r\n`, ...CHUNKED},
	{name: 'trailers and close', head: `${OK}${CLOSE}${CHUNKS}\r\n`, ...TRAILERS},
	{name: 'neither', head: `${OK}x: y\r\n\r\n`, ...UNFRAMED},
	{name: 'neither in HTTP/1.0', head: `${OLD}x: y\r\n\r\n`, ...UNFRAMED},
	{name: 'an interim response and neither', head: `${HINTS}link: a\r\n\r\n${OK}${CLOSE}\r\n`, ...UNFRAMED},
];

/**
All responses.
*/
export const CUT_RESPONSES: readonly CutResponse[] = [
	...MAIN_RESPONSES,
	{name: 'a length and keep-alive', head: `${OK}${KEEP}keep-alive: timeout=5\r\n${SIZED}\r\n`, ...LENGTH},
	{name: 'a length and a keep-alive that is over', head: `${OK}${KEEP}keep-alive: timeout=0\r\n${SIZED}\r\n`, ...LENGTH},
	{name: 'a length before all other fields', head: `${OK}${SIZED}${CLOSE}x: y\r\n\r\n`, ...LENGTH},
	{name: 'a length of zero and close', head: `${OK}${CLOSE}content-length: 0\r\n\r\n`},
	{name: 'a length with zeros and spaces', head: `${OK}${CLOSE}Content-Length:\t 0011\r\n\r\n`, ...LENGTH},
	{name: 'a length in HTTP/1.0', head: `${OLD}${SIZED}\r\n`, ...LENGTH},
	{name: 'a length in HTTP/1.0 and keep-alive', head: `${OLD}${KEEP}${SIZED}\r\n`, ...LENGTH},
	{
		name: 'a length and a failure', status: 500, head: `HTTP/1.1 500 Failed\r\n${CLOSE}${SIZED}\r\n`, ...LENGTH,
	},
	{name: 'a length and no reason phrase', head: `HTTP/1.1 200\r\n${CLOSE}${SIZED}\r\n`, ...LENGTH},
	{name: 'a length and a blank line before it', head: `\r\n${OK}${CLOSE}${SIZED}\r\n`, ...LENGTH},
	{
		name: 'a length and a folded field', head: `${OK}${CLOSE}x: y\r\n z\r\n${SIZED}\r\n`, ...LENGTH, isMalformed: true,
	},
	{name: 'chunks and keep-alive', head: `${OK}${KEEP}${CHUNKS}\r\n`, ...CHUNKED},
	{name: 'chunks in capitals', head: `${OK}${CLOSE}TRANSFER-ENCODING: CHUNKED\r\n\r\n`, ...CHUNKED},
	{name: 'trailers', head: `${OK}${CHUNKS}trailer: x\r\n\r\n`, ...TRAILERS},
	{name: 'neither and close', head: `${OK}${CLOSE}x: y\r\n\r\n`, ...UNFRAMED},
	{name: 'neither and keep-alive', head: `${OK}${KEEP}keep-alive: timeout=5\r\n\r\n`, ...UNFRAMED},
	{name: 'neither in HTTP/1.0 and keep-alive', head: `${OLD}${KEEP}\r\n`, ...UNFRAMED},
	{
		name: 'neither and a folded field at its end', head: `${OK}x: y\r\n z\r\n\r\n`, ...UNFRAMED, isMalformed: true,
	},
	{name: 'neither and an empty field', head: `${OK}x:\r\n\r\n`, ...UNFRAMED},
	{name: 'neither and no fields', head: `${OK}\r\n`, ...UNFRAMED},
	{name: 'a coding other than chunks', head: `${OK}transfer-encoding: identity\r\n\r\n`, ...UNFRAMED},
	{name: 'an interim response and a length', head: `${HINTS}link: a\r\n\r\n${OK}${SIZED}\r\n`, ...LENGTH},
	{name: 'an interim response with a length, and chunks', head: `${HINTS}content-length: 3\r\n\r\n${OK}${CLOSE}${CHUNKS}\r\n`, ...CHUNKED},
	{
		name: 'an interim response that closes, and a length', head: `${HINTS}${CLOSE}\r\n${OK}${SIZED}\r\n`, ...LENGTH, isMalformed: true,
	},
	{name: 'two interim responses and neither', head: `HTTP/1.1 102 Processing\r\n\r\n${HINTS}\r\n${OK}\r\n`, ...UNFRAMED},
	{name: 'no content', status: 204, head: 'HTTP/1.1 204 No Content\r\nx: y\r\n\r\n'},
	{name: 'no content and close', status: 204, head: `HTTP/1.1 204 No Content\r\n${CLOSE}\r\n`},
	{name: 'no change and a length', status: 304, head: `HTTP/1.1 304 Not Modified\r\n${SIZED}\r\n`},
	{name: 'no change in HTTP/1.0', status: 304, head: 'HTTP/1.0 304 Not Modified\r\nx: y\r\n\r\n'},
	{name: 'a length, to HEAD', method: 'HEAD', head: `${OK}${SIZED}x: y\r\n\r\n`},
	{name: 'a length and close, to HEAD', method: 'HEAD', head: `${OK}${CLOSE}${SIZED}\r\n`},
	{name: 'chunks and keep-alive, to HEAD', method: 'HEAD', head: `${OK}${KEEP}${CHUNKS}\r\n`},
	{name: 'neither, to HEAD in HTTP/1.0', method: 'HEAD', head: `${OLD}x: y\r\n\r\n`},
	{
		name: 'an interim response 100', head: `HTTP/1.1 100 Continue\r\n\r\n${OK}${CLOSE}\r\n`, ...UNFRAMED, isMalformed: true,
	},
	{
		name: 'a switch of protocols', head: 'HTTP/1.1 101 Switching\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n', ...UNFRAMED, isMalformed: true,
	},
	{
		name: 'lines that end with LF only', head: 'HTTP/1.1 200 OK\nx: y\n\n', ...UNFRAMED, isMalformed: true,
	},
	{
		name: 'a last line that ends with LF only', head: `${OK}x: y\r\n\n`, ...UNFRAMED, isMalformed: true,
	},
	{
		name: 'a length and chunks', head: `${OK}${CLOSE}${SIZED}${CHUNKS}\r\n`, ...CHUNKED, isMalformed: true,
	},
	{
		name: 'two lengths', head: `${OK}${CLOSE}${SIZED}${SIZED}\r\n`, ...LENGTH, isMalformed: true,
	},
	{
		name: 'a length that is none', head: `${OK}${CLOSE}content-length: 11a\r\n\r\n`, ...LENGTH, isMalformed: true,
	},
	{
		name: 'a length without a value', head: `${OK}${CLOSE}content-length:\r\n\r\n`, ...LENGTH, isMalformed: true,
	},
	{
		name: 'a folded length', head: `${OK}${CLOSE}content-length: 1\r\n 1\r\n\r\n`, ...LENGTH, isMalformed: true,
	},
	{
		name: 'a length behind a space before the colon', head: `${OK}${CLOSE}content-length : 11\r\n\r\n`, ...LENGTH, isMalformed: true,
	},
	{
		name: 'folded codings', head: `${OK}transfer-encoding: identity,\r\n chunked\r\n\r\n`, ...CHUNKED, isMalformed: true,
	},
	{
		name: 'codings behind odd spaces', head: `${OK}transfer-encoding: \u{A0}chunked\r\n\r\n`, ...CHUNKED, isMalformed: true,
	},
	{
		name: 'codings in front of odd spaces', head: `${OK}transfer-encoding: chunked\u{A0}\r\n\r\n`, ...CHUNKED, isMalformed: true,
	},
	{
		name: 'codings around a form feed', head: `${OK}transfer-encoding: identity,\u{C}chunked\r\n\r\n`, ...CHUNKED, isMalformed: true,
	},
	{
		name: 'chunks and a tab', head: `${OK}transfer-encoding: chunked\t\r\n\r\n`, ...CHUNKED, isMalformed: true,
	},
	{name: 'chunks and a space', head: `${OK}transfer-encoding: chunked \r\n\r\n`, ...CHUNKED},
	{name: 'chunks and several spaces', head: `${OK}transfer-encoding: chunked   \r\n\r\n`, ...CHUNKED},
	{
		name: 'chunks behind a space before the colon', head: `${OK}transfer-encoding : chunked\r\n\r\n`, ...CHUNKED, isMalformed: true,
	},
	{
		name: 'a bare CR in a field', head: `${OK}x: y\rcontent-length: 3\r\n\r\n`, ...UNFRAMED, isMalformed: true,
	},
	{
		name: 'chunks and a word', head: `${OK}transfer-encoding: chunked x\r\n\r\n`, ...CHUNKED, isMalformed: true,
	},
	{name: 'chunks behind a tab', head: `${OK}transfer-encoding:\tidentity,\tchunked\r\n\r\n`, ...CHUNKED},
	{
		name: 'chunks and a comma', head: `${OK}transfer-encoding: chunked,\r\n\r\n`, ...CHUNKED, isMalformed: true,
	},
	{
		name: 'chunks in a word', head: `${OK}transfer-encoding: x-chunked\r\n\r\n`, ...CHUNKED, isMalformed: true,
	},
	{
		name: 'chunks with a parameter', head: `${OK}transfer-encoding: chunked;a=b\r\n\r\n`, ...CHUNKED, isMalformed: true,
	},
	{name: 'chunks in a quoted parameter', head: `${OK}transfer-encoding: a;b=",chunked\r\n\r\n`, ...CHUNKED},
	{name: 'chunks in the second field', head: `${OK}transfer-encoding: identity\r\n${CHUNKS}\r\n`, ...CHUNKED},
	{
		name: 'chunks in front of an empty field', head: `${OK}${CHUNKS}transfer-encoding:\r\n\r\n`, ...CHUNKED, isMalformed: true,
	},
	{name: 'an empty coding', head: `${OK}transfer-encoding:\r\n\r\n`, ...UNFRAMED},
	{name: 'an empty coding and a length', head: `${OK}transfer-encoding:\r\n${SIZED}\r\n`, ...LENGTH},
	{
		name: 'codings in two fields', head: `${OK}transfer-encoding: chunked\r\ntransfer-encoding: identity\r\n\r\n`, ...CHUNKED, isMalformed: true,
	},
	{name: 'chunks twice', head: `${OK}${CHUNKS}${CHUNKS}\r\n`, ...CHUNKED},
	{name: 'chunks in HTTP/1.0', head: `${OLD}${CHUNKS}\r\n`, ...CHUNKED},
];

/**
Responses to GET of which a complete head can be read.
*/
export const READABLE_RESPONSES: readonly CutResponse[] = CUT_RESPONSES.filter(({method, isMalformed}) => method === undefined && isMalformed !== true);

/**
Returns all positions of a cut, from before the first byte to behind the last.
*/
export function getCuts({head, body = ''}: CutResponse): readonly number[] {
	return Array.from({length: head.length + body.length + 1}, (_, index) => index);
}

/**
Returns what arrives of a response.
*/
export function cutResponse({head, body = ''}: CutResponse, cut: number): string {
	return (head + body).slice(0, cut);
}

/**
Returns what the caller may get, if there is no other target.
*/
export function getExpected({
	status = 200, head, body = '', content = body, isUnframed = false, isMalformed = false,
}: CutResponse, cut: number, closing: Closing): Expected {
	if (isMalformed || cut < head.length) {
		return {kind: 'refused'};
	}

	if (isUnframed) {
		return closing === 'closed' ? {kind: 'whole', status, content: body.slice(0, cut - head.length)} : {kind: 'cut'};
	}

	return cut === head.length + body.length ? {kind: 'whole', status, content} : {kind: 'cut'};
}
