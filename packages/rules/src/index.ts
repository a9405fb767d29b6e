export type { ResolvedClass, ResolvedLimits, ResolvedRoute, ResolvedRules, ResolvedTeam, WorkKind } from './types/rules.js'
export type { ResolvedSettings } from './types/settings.js'
