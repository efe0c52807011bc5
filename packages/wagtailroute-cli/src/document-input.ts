/**
Reads the files of a check of a catalogue document: the document that would be sent, and the one in force as a control host returned it.
*/
import type * as core from 'wagtailroute-core';
import * as results from 'ts-results-es';
import * as checkInput from './check-input.ts';
import * as entries from './entries.ts';
import type * as failures from './failures.ts';

/**
Reads a document, of which only the syntax is validated. The document has `maxBytes` at most.
*/
export async function readDocument(path: string, maxBytes: number): Promise<results.Result<unknown, failures.CommandFailure>> {
	const text = await readText('FILE', path, maxBytes);
	return text.andThen(read => results.Result.wrap(() => JSON.parse(read) as unknown)
		// The message of the error is left out: it quotes the text, which holds API keys.
		.mapErr(() => checkInput.createFileFailure(entries.rejectFile('FILE', path, 'JSON').error.message)));
}

/**
Reads the document in force, as a control host returned it.
*/
export async function readDocumentInForce<Document>(
	path: string,
	maxBytes: number,
	parse: (text: string) => results.Result<Document, core.Failure>,
): Promise<results.Result<Document, failures.CommandFailure>> {
	const text = await readText('--against', path, maxBytes);
	return text.andThen(read => parse(read)
		.mapErr(({message}) => checkInput.createFileFailure(`--against: ${JSON.stringify(path)} holds a document that is not valid: ${message}`)));
}

async function readText(argument: string, path: string, maxBytes: number): Promise<results.Result<string, failures.CommandFailure>> {
	const text = await entries.readText(argument, path, maxBytes);
	return text.mapErr(({message}) => checkInput.createFileFailure(message));
}
