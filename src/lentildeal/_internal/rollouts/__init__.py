"""Steps of trainers and the workers that run samples."""
