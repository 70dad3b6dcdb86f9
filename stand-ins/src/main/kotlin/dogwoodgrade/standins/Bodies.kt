package dogwoodgrade.standins

import io.vertx.core.json.JsonObject
import io.vertx.ext.web.RoutingContext

/** Returns the JSON object in the body of the request, or an empty one if there is no body. */
internal fun bodyOf(context: RoutingContext): JsonObject = context.body().asJsonObject() ?: JsonObject()
