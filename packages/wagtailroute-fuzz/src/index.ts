/**
Seeded fuzzing of each surface that a stranger or a faulty host reaches.
*/
export {
	type Campaign, type CampaignPlan, type Finding, runCampaign,
} from './campaign.ts';
export {SURFACES} from './surfaces.ts';
export type {Surface} from './surface.ts';
export {
	createPlace, openTarget, type Place, type Target,
} from './target.ts';
