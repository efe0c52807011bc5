/**
Generations: a whole catalogue put in force as one. Their validation, the look-up of routes and keys, the replicated state machine that
stores them, and the checks before they are sent.
*/
export {findWarnings} from './checks/check.ts';
export {type GenerationWarning, type GenerationWarningCode, WARNING_SEVERITIES} from './checks/warnings.ts';
export {
	decodeDocument,
	decodeGeneration,
	encodeGeneration,
	type EncodedGeneration,
	type SubmittedGeneration,
} from './encoding.ts';
export {
	type CallerLimits,
	checkGeneration,
	type Generation,
	type GenerationFailure,
	type GenerationIssue,
	type GenerationOrganisation,
	type GenerationRoute,
	type GenerationService,
	parseGeneration,
	type Share,
} from './generation.ts';
export {MAX_RETIREMENTS} from './constants.ts';
export {createOrganisationFinder, type OrganisationFinder} from './organisation-finder.ts';
export {createRouteFinder, type RouteFinder} from './route-finder.ts';
export {createServiceChooser, type ServiceChooser} from './service-chooser.ts';
export {
	createReplicatedGenerations,
	type GenerationAnswer,
	type GenerationCommand,
	type GenerationSnapshot,
	getSubmittedVersion,
	type IndexedRetirement,
	type ReplicatedGenerations,
	type Retirement,
	type RetirementState,
	type StoredGeneration,
} from './replicated.ts';
