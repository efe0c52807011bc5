/**
Warnings about a generation: what control hosts accept, although it can't have the effect that the generation states.
*/
import type * as core from 'wagtailroute-core';

const SEVERITIES = {
	'host-with-port': 'warning',
	'prefix-with-query': 'warning',
	'share-without-weight': 'warning',
	'service-repeated': 'warning',
	'service-unused': 'warning',
	'timeout-below-objective': 'warning',
	'attempts-beyond-timeout': 'warning',
	'burst-without-rate': 'warning',
	'burst-below-one-request': 'warning',
} as const satisfies Readonly<Record<string, core.Severity>>;

/**
The kind of a warning. Printed and read by programs, so the codes keep their names.
*/
export type GenerationWarningCode = keyof typeof SEVERITIES;

/**
The severity of each kind of warning.
*/
export const WARNING_SEVERITIES: Readonly<Record<GenerationWarningCode, core.Severity>> = SEVERITIES;

/**
A warning. `path` leads from the generation to the field, or to the item if the whole item is meant.
*/
export type GenerationWarning = {
	readonly code: GenerationWarningCode;
	readonly path: readonly [list: 'routes' | 'services' | 'organisations', index: number, ...field: ReadonlyArray<string | number>];
	readonly message: string;
};
