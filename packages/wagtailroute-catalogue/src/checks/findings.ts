/**
Codes of the findings about entries that are about to be sent.
*/
import * as core from 'wagtailroute-core';

const SEVERITIES = {
	'entry-invalid': 'error',
	'entry-too-large': 'error',
	'route-conflict': 'error',
	'catalogue-full': 'error',
	'entry-repeated': 'warning',
	'host-with-port': 'warning',
	'methods-unknown': 'warning',
	'route-covered': 'warning',
	'service-unmatched': 'warning',
	'timeout-below-objective': 'warning',
	'objective-below-queue': 'warning',
	'share-below-one-request': 'warning',
} as const satisfies Readonly<Record<string, core.Severity>>;

/**
The kind of a finding. Printed and read by programs, so the codes keep their names.
*/
export type FindingCode = keyof typeof SEVERITIES;

/**
A finding about an entry.
*/
export type Finding = core.Finding<FindingCode>;

/**
Creates a finding with the severity of its code.
*/
export const createFinding = core.createFindingFactory<FindingCode>(SEVERITIES);
