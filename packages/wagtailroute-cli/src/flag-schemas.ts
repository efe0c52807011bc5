/**
How the text of a flag becomes its value.
*/
import * as net from 'node:net';
import type * as core from 'wagtailroute-core';
import * as zod from 'zod';

const MAXIMUM_PORT = 65_535;

/**
A port number.
*/
export const port = zod.string().regex(/^\d{1,5}$/v).transform(Number).pipe(zod.int().max(MAXIMUM_PORT));

/**
An address by IP number, with brackets around IPv6.
*/
export const address = zod.string().transform((text, context): core.Address => {
	const parsed = parseAddress(text);
	if (!parsed) {
		context.addIssue('not ip:port');
		return zod.NEVER;
	}

	return parsed;
});

/**
A name of a host, failure domain, region or service.
*/
export const name = zod.string().regex(/^[\dA-Za-z][\w\-.]{0,62}$/v);

/**
A secret: anything without white space or control characters.
*/
export const secret = zod.string().regex(/^[\p{ASCII}--[\s\p{Control}]]{1,512}$/v);

/**
A positive whole number.
*/
export const count = zod.string().regex(/^\d{1,9}$/v).transform(Number).pipe(zod.int().min(1));

/**
A whole number, 0 too.
*/
export const wholeNumber = zod.string().regex(/^\d{1,9}$/v).transform(Number);

/**
A list of addresses, separated by commas; may be empty.
*/
export const addresses = createList(address);

/**
A list of `id=ip:port`, separated by commas; may be empty.
*/
export const namedAddresses = createList(zod.string()
	.regex(/^[^=]+=[^=]+$/v)
	.transform(text => {
		const [id, at] = text.split('=', 2);
		return {id, address: at};
	})
	.pipe(zod.object({id: name, address})));

/**
The roles of a host: a list without repetition.
*/
export const roles = createList(zod.enum(['entry', 'control']))
	.pipe(zod.array(zod.enum(['entry', 'control'])).min(1))
	.refine(list => new Set(list).size === list.length);

/**
A switch.
*/
export const toggle = zod.enum(['true', 'false']).transform(text => text === 'true');

/**
A span of time such as `30s`, `5m`, `1h` or `3d`, kept as text.
*/
export const span = zod.string().regex(/^[1-9]\d{0,4}[dhms]$/v);

function parseAddress(text: string): core.Address | undefined {
	const match = /^(?:\[(?<six>[^\]]+)\]|(?<four>[^:]+)):(?<port>\d{1,5})$/v.exec(text);
	const {six, four, port: digits} = match?.groups ?? {};
	const ip = six ?? four ?? '';
	const isNumber = six === undefined ? net.isIPv4(ip) : net.isIPv6(ip);
	const number = Number(digits);
	return isNumber && number <= MAXIMUM_PORT ? {ip, port: number} : undefined;
}

function createList<Item extends zod.ZodType<unknown, string>>(item: Item) {
	return zod.string()
		.transform(text => text.split(',').map(part => part.trim()).filter(part => part !== ''))
		.pipe(zod.array(item));
}

/**
A path of a file or folder.
*/
export const path = zod.string().min(1).max(4096);

/**
Format of a log or an answer.
*/
export const textOrJson = zod.enum(['text', 'json']);

/**
Format of a report.
*/
export const reportFormat = zod.enum(['text', 'json', 'html']);

/**
Least level that is logged.
*/
export const logLevel = zod.enum(['error', 'warn', 'info', 'debug']);
