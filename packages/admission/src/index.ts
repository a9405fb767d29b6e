export { AdmissionService } from './runtime/AdmissionService.js'
export type { AdmissionServiceOptions, RoomHold } from './runtime/AdmissionService.js'
export { EVENTS as ADMISSION_EVENTS } from './types/events.js'
