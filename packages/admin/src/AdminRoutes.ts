import type { AdminRoute } from '#admin/AdminRoute.js';
import { catalogueRoutes } from '#admin/CatalogueRoutes.js';
import { fleetRoutes } from '#admin/FleetRoutes.js';
import { intentRoutes } from '#admin/IntentRoutes.js';
import { statusRoutes } from '#admin/StatusRoutes.js';

/** All operations of the administration API. */
export const adminRoutes: readonly AdminRoute[] = [
  ...catalogueRoutes,
  ...intentRoutes,
  ...fleetRoutes,
  ...statusRoutes,
];
